import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

/** Increment when frames change in a way that older nodes can't decode. */
export const protocolVersion = 2;

/** The first frame that each side sends on a connection. */
export interface HelloFrame {
  readonly kind: 'hello';
  readonly version: number;
  readonly identity: NodeIdentity;
  /** Random bytes that the other side has to sign. */
  readonly nonce: Uint8Array;
}

/** The second frame that each side sends: proves that the sender has the peer secret. */
export interface ProofFrame {
  readonly kind: 'proof';
  readonly signature: Uint8Array;
}

/** Keeps a connection without other traffic from being taken as dead. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat';
}

export type WireFrame = HelloFrame | ProofFrame | HeartbeatFrame | PeerFrame;
