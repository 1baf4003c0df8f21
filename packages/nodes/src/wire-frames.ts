import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

/** Raised when frames change in a way that older nodes can't read. */
export const protocolVersion = 2;

/** The first frame in each direction. */
export interface HelloFrame {
  readonly kind: 'hello';
  readonly version: number;
  readonly identity: NodeIdentity;
  /** Random bytes that the other side has to sign. */
  readonly nonce: Uint8Array;
}

/** The second frame in each direction: shows that the sender holds the peer secret. */
export interface ProofFrame {
  readonly kind: 'proof';
  readonly signature: Uint8Array;
}

/** Shows that the connection is alive. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat';
}

export type WireFrame = HelloFrame | ProofFrame | HeartbeatFrame | PeerFrame;
