export { ReadinessServer } from './readiness-server.js';
export type { TextPage } from './readiness-server.js';
export { ReportServer } from './report-server.js';
export type { ReportServerOptions, ServerMessage, ServerMessageCodec } from './report-server.js';
export { ServerClient } from './server-client.js';
export type { HealthCheckResult, ServerClientOptions, ServerHeaderCodec } from './server-client.js';
