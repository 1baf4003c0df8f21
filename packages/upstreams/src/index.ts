export type { FieldError, ParsedAnnouncement } from './announcement-schema.js';
export { parseAnnouncement } from './announcement-schema.js';
export { AnnouncementServer } from './announcement-server.js';
export type { AnnouncementMessage } from './announcement-server.js';
export { UpstreamClient } from './upstream-client.js';
export type { UpstreamClientMessage } from './upstream-client.js';
