export { CallerServer } from './caller-server.js';
export type {
  CallerLimits,
  CallerServerOptions,
  FinishedRequest,
} from './caller-server-options.js';
export { statusOf } from './outcome-status.js';
