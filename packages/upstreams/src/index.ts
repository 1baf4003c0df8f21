export type { FieldError, ParsedAnnouncement } from './announcement-schema.js';
export { parseAnnouncement } from './announcement-schema.js';
export { AnnouncementServer } from './announcement-server.js';
export type { AnnouncementMessage } from './announcement-server.js';
export { UpstreamClient } from './upstream-client.js';
export type { UpstreamClientMessage } from './upstream-client.js';
export { ReadinessServer } from './mesh/readiness-server.js';
export type { TextPage } from './mesh/readiness-server.js';
export { ReportServer } from './mesh/report-server.js';
export type {
  ReportServerOptions,
  ServerMessage,
  ServerMessageCodec,
} from './mesh/report-server.js';
export { ServerClient } from './mesh/server-client.js';
export type { HealthAnswer, ServerClientOptions, ServerHeaderCodec } from './mesh/server-client.js';
