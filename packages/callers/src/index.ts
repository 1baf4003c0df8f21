export { CallerServer } from './caller-server.js';
export type {
  CallerLimits,
  CallerServerOptions,
  FinishedRequest,
} from './caller-server-options.js';
export { statusOf } from './outcome-status.js';
export type { ConnectionWait } from './routes/caller-connection.js';
export { RouteServer } from './routes/route-server.js';
export type {
  CallerHeaderNames,
  LocalAnswer,
  RouteServerOptions,
  RoutingView,
} from './routes/route-server.js';
