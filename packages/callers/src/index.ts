export { CallerServer } from './caller-server.js';
export type {
  CallerLimits,
  CallerServerOptions,
  FinishedRequest,
} from './caller-server-options.js';
export { statusOf } from './outcome-status.js';
export { RouteServer } from './routes/route-server.js';
export type {
  CallerHeaderNames,
  LocalAnswer,
  RouteServerOptions,
  RoutingView,
} from './routes/route-server.js';
