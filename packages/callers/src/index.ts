export { CallerServer } from './caller-server.js';
export type {
  CallerLimits,
  CallerServerOptions,
  FinishedRequest,
} from './caller-server-options.js';
export { httpStatusOf } from './outcome-status.js';
export type { PipelineWait } from './routes/caller-connection.js';
export { RouteServer } from './routes/route-server.js';
export type {
  CallerHeaderNames,
  LocallyAnsweredRequest,
  RouteServerOptions,
  RoutingConfiguration,
} from './routes/route-server.js';
