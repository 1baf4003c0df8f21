export { PlatformStandIn } from './platform-stand-in.js';
export type { PlatformCallCounts } from './platform-stand-in.js';
export type { PlatformFault } from './platform-requests.js';
