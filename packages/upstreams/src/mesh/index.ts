export { ReadinessServer } from './readiness-server.js';
export type { TextPage } from './readiness-server.js';
export { ReportServer } from './report-server.js';
export type {
  MessageVerdict,
  ReportServerOptions,
  ServerMessage,
  ServerMessageCodec,
} from './report-server.js';
export { ServerClient } from './server-client.js';
export type { ServerClientOptions } from './server-client.js';
export type { HealthCheckResult } from './server-health-check.js';
export type { ServerHeaderCodec } from './server-response-reader.js';
