export { HttpStoreTransport } from './http-store-transport.js';
export type { HttpStoreTransportOptions } from './http-store-transport.js';
export type {
  ItemPage,
  RemovedKey,
  StoreResponse,
  StoreCall,
  StoreCallCodec,
  StoreCallOptions,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-value-store.js';
export { EraStatus, StoreEraTracker } from './store-era-tracker.js';
export { StoreSession } from './store-session.js';
export type { DepartureRead, StoreSessionOptions } from './store-session.js';
