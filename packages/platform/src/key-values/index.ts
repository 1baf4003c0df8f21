export { HttpStoreTransport } from './http-store-transport.js';
export type { HttpStoreTransportOptions } from './http-store-transport.js';
export type {
  ItemPage,
  StoreAnswer,
  StoreCall,
  StoreCallCodec,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-value-store.js';
export { EraFinding, StoreEra } from './store-era.js';
export { StoreSession } from './store-session.js';
export type { StoreSessionOptions } from './store-session.js';
