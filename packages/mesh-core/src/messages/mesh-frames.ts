/** Header fields as they came, in order; names in lower case. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A node as others know it. */
export interface MeshNode {
  readonly name: string;
  /** Identifies one life of the node's process; later lives have higher numbers. */
  readonly boot: number;
  /** The service of the server beside the node. */
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Where other nodes reach it. */
  readonly address: string;
}

export const ServerState = {
  /** No server is known, or it left. */
  Absent: 'absent',
  Draining: 'draining',
  Ready: 'ready',
} as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** What a gate says of its server. */
export interface GateLoad {
  readonly state: ServerState;
  readonly running: number;
  readonly waiting: number;
  /** Requests that the gate runs at the same time. */
  readonly limit: number;
  /** Expected time until a request that comes now would start. */
  readonly waitMilliseconds: number;
  /** Time that work takes relative to the usual, 1 for the usual. */
  readonly slowdown: number;
  /** Recent mean time of a request at the server. */
  readonly serviceMilliseconds: number;
  /** Recent share of requests that the server failed, 0 to 1. */
  readonly failureShare: number;
}

export const DeclineReason = {
  /** Others may start it sooner; the sender may insist. */
  Busy: 'busy',
  DeadlineTooShort: 'deadline-too-short',
  Draining: 'draining',
  NoServer: 'no-server',
  QueueFull: 'queue-full',
  /** The server said that it did not run the request. */
  ServerRefused: 'server-refused',
  ServerUnreachable: 'server-unreachable',
  WrongService: 'wrong-service',
} as const;
export type DeclineReason = (typeof DeclineReason)[keyof typeof DeclineReason];

/** Asks a gate to run a request. */
export interface StartFrame {
  readonly kind: 'start';
  /** Unique in one life of the sender. A second frame with the same number asks for the same run. */
  readonly callId: number;
  readonly service: string;
  readonly routeName: string;
  readonly requestId: string;
  readonly callerService: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body?: Uint8Array | undefined;
  readonly idempotent: boolean;
  readonly priority: number;
  /** Whether a server waits for the answer while it holds a slot of its own. */
  readonly nested: boolean;
  /** Whether the request went to a server before. */
  readonly repeat: boolean;
  /** Whether the gate may decline because another may be sooner. */
  readonly optional: boolean;
  readonly remainingMilliseconds: number;
  /** Time until the route's target latency has passed; negative once it has. */
  readonly targetMilliseconds: number;
}

/** Withdraws a request whose answer nobody waits for. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly callId: number;
}

/** The request was not run and will not be. */
export interface DeclinedFrame {
  readonly kind: 'declined';
  readonly callId: number;
  readonly reason: DeclineReason;
  /** Expected time until an answer if the sender insists or comes back. */
  readonly expectedMilliseconds: number;
  readonly load: GateLoad;
}

/** The server's whole answer. */
export interface AnsweredFrame {
  readonly kind: 'answered';
  readonly callId: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly load: GateLoad;
}

/** The request may have run and has no answer. */
export interface FailedFrame {
  readonly kind: 'failed';
  readonly callId: number;
  readonly detail: string;
  readonly load: GateLoad;
}

/** A lifetime of a server whose drain or end was confirmed. */
export interface EndedServer {
  readonly instanceId: string;
  /** Unix milliseconds of its start; undefined if it did not say. */
  readonly startedAt?: number | undefined;
}

/** A server that ended, and the node beside it. */
export interface NodeServer extends EndedServer {
  readonly node: string;
}

export interface LoadFrame {
  readonly kind: 'load';
  readonly load: GateLoad;
  /** The server that drains or has left, when that has just become so. */
  readonly endedServer?: EndedServer | undefined;
}

/** A configuration as the operator wrote it. */
export interface ConfigurationFrame {
  readonly kind: 'configuration';
  readonly version: number;
  readonly content: Uint8Array;
}

/** The sender has this version of the configuration in force. */
export interface VersionFrame {
  readonly kind: 'version';
  readonly version: number;
  /** The newest era of the store that the sender has seen; nodes that don't ask the store learn of it so. */
  readonly storeEra?: number | undefined;
}

/** Whether the store answers the sender. */
export interface StoreReachFrame {
  readonly kind: 'store-reach';
  readonly reachesStore: boolean;
}

/** Asks for the configuration that the receiver has in force. */
export interface PullFrame {
  readonly kind: 'pull';
}

export interface MembersFrame {
  readonly kind: 'members';
  readonly members: readonly MeshNode[];
}

/** The sender's process ends on purpose. */
export interface LeavingFrame {
  readonly kind: 'leaving';
}

/** Frames from an entry to a gate. */
export type RequestFrame = StartFrame | CancelFrame;
/** Frames from a gate to an entry. */
export type ReplyFrame = DeclinedFrame | AnsweredFrame | FailedFrame;
export type ControlFrame =
  | LoadFrame
  | ConfigurationFrame
  | VersionFrame
  | StoreReachFrame
  | PullFrame
  | MembersFrame
  | LeavingFrame;
export type MeshFrame = RequestFrame | ReplyFrame | ControlFrame;
