export { PlatformStore } from './platform-store.js';
export type { PlatformCallCounters, PlatformStoreOptions } from './platform-store.js';
export { HttpStoreTransport } from './key-values/http-store-transport.js';
export type { HttpStoreTransportOptions } from './key-values/http-store-transport.js';
export type {
  ItemPage,
  StoreCall,
  StoreCallCodec,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-values/key-value-store.js';
export { StoreSession } from './key-values/store-session.js';
export type { StoreSessionOptions } from './key-values/store-session.js';
