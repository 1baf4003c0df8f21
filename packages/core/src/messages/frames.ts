import type { BodyFrame, CallFrame } from './call-frames.js';
import type { KeyedFrame } from './keyed-frames.js';
import type { HomeFrame } from './home-frames.js';
import type { MembershipFrame } from './membership-frames.js';
import type { ConfigurationFrame } from './configuration-frames.js';
import type { LoadFrame } from './load-frames.js';
import type { OperatorFrame } from './operator-frames.js';

export * from './request-head.js';
export * from './call-frames.js';
export * from './keyed-frames.js';
export * from './home-frames.js';
export * from './membership-frames.js';
export * from './configuration-frames.js';
export * from './load-frames.js';
export * from './operator-frames.js';

/** All frames between nodes after the handshake. */
export type PeerFrame =
  | CallFrame
  | BodyFrame
  | KeyedFrame
  | HomeFrame
  | MembershipFrame
  | ConfigurationFrame
  | LoadFrame
  | OperatorFrame;

/** Frames handled by the core. The daemon relays body frames and operator frames itself. */
export type CoreFrame =
  CallFrame | KeyedFrame | HomeFrame | MembershipFrame | ConfigurationFrame | LoadFrame;
