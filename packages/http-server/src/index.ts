export type { ClientHandlers, ClientLimits, ClientStream } from './client-stream.js';
export { DeferredInput } from './deferred-input.js';
export { faultFields, writeFaultResponse } from './fault-response.js';
export { GuardedHttpServer } from './guarded-http-server.js';
export type { GuardedHttpServerOptions, ReceivedRequest } from './guarded-http-server.js';
export type { RequestBody, SequentialRequest } from './sequential-request.js';
export { SequentialServer } from './sequential-server.js';
export type { SequentialServerOptions } from './sequential-server.js';
