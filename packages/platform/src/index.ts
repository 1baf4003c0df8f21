export { PlatformStore } from './platform-store.js';
export type { PlatformCallCounters, PlatformStoreOptions } from './platform-store.js';
