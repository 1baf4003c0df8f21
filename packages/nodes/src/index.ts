export { encodeFrame, FrameDecoder, FrameFault, maximumFrameBytes } from './frame-codec.js';
export type { DecodedFrame } from './frame-codec.js';
export { NodeConnections, SendResult } from './node-connections.js';
export type { NodeConnectionsEvents, NodeConnectionsOptions } from './node-connections.js';
export type { PeerSecrets } from './peer-authentication.js';
export { CloseReason } from './peer-connection.js';
export { protocolVersion } from './wire-frames.js';
