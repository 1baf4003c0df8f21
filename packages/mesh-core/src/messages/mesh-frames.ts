import type { AllotmentAskFrame, AllotmentGrantFrame } from './allotment-frames.js';

/** Header fields in the order received; names in lower case. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A node, as announced to other nodes. */
export interface MeshNode {
  readonly name: string;
  /** Incarnation of the node's process; a later incarnation has a higher number. */
  readonly boot: number;
  /** The service of the server that the node is the gate of. */
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Address at which other nodes connect to it. */
  readonly address: string;
}

export const ServerState = {
  /** No server is known, or it has left. */
  Absent: 'absent',
  Draining: 'draining',
  /** The server's availability zone is evacuated: it gets no requests until the operator ends that. */
  Evacuated: 'evacuated',
  Ready: 'ready',
} as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** The load of a server, as its gate reports it. */
export interface GateLoad {
  readonly state: ServerState;
  readonly running: number;
  readonly waiting: number;
  /** Maximum number of requests that the gate runs at the same time. */
  readonly limit: number;
  /** Expected time until a request received now would start. */
  readonly waitMilliseconds: number;
  /** Current duration of work relative to its normal duration; 1 if there is no slowdown. */
  readonly slowdown: number;
  /** Recent mean service time of a request at the server. */
  readonly serviceMilliseconds: number;
  /**
   * Recent mean service time of the route of the request that the load is the reply to. Undefined in a report that
   * replies to no request, before the first response of the route, and from nodes of an older version.
   */
  readonly routeMilliseconds?: number | undefined;
  /** Recent share of requests that failed at the server, from 0 to 1. */
  readonly failureShare: number;
}

export const DeclineReason = {
  /** Other gates may start the request sooner; the sender may send it again with `optional` unset. */
  Busy: 'busy',
  DeadlineTooShort: 'deadline-too-short',
  Draining: 'draining',
  NoServer: 'no-server',
  /** The request has crashed several servers. */
  Quarantined: 'quarantined',
  QueueFull: 'queue-full',
  /** The server reported that it did not run the request. */
  ServerRefused: 'server-refused',
  ServerUnreachable: 'server-unreachable',
  WrongService: 'wrong-service',
  /** The key of the request may have been removed longer ago than is allowed. */
  KeyUnproven: 'key-unproven',
  /** The operator has evacuated the gate's availability zone. */
  ZoneEvacuated: 'zone-evacuated',
} as const;
export type DeclineReason = (typeof DeclineReason)[keyof typeof DeclineReason];

/** Asks a gate to run a request. */
export interface StartFrame {
  readonly kind: 'start';
  /** Unique in one incarnation of the sender. A second frame with the same number is for the same execution. */
  readonly callId: number;
  readonly service: string;
  readonly routeName: string;
  readonly requestId: string;
  readonly callerService: string;
  /** Name of the tenant on whose behalf the request is made, which is passed to the server. */
  readonly tenant?: string | undefined;
  /** Time for which the tenant's key may still be acted on; the request must have started by then. */
  readonly keyValidMilliseconds?: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body?: Uint8Array | undefined;
  readonly idempotent: boolean;
  readonly priority: number;
  /** Whether the caller is a server that occupies one of its own slots while it waits for the answer. */
  readonly nested: boolean;
  /** Set if the caller sent the request behind another one, before it had an answer to that. */
  readonly pipelined?: boolean | undefined;
  /** Whether the request has been sent to a server before. */
  readonly repeat: boolean;
  /** Whether the gate may decline because another gate may be sooner. */
  readonly optional: boolean;
  readonly remainingMilliseconds: number;
  /** Time until the route's target latency has passed; negative once it has. */
  readonly targetMilliseconds: number;
}

/** Cancels a request whose answer is no longer needed. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly callId: number;
}

/** The request did not run and will not run at this gate. */
export interface DeclinedFrame {
  readonly kind: 'declined';
  readonly callId: number;
  readonly reason: DeclineReason;
  /** Expected time until an answer if the request is sent to this gate again. */
  readonly expectedMilliseconds: number;
  readonly load: GateLoad;
}

/** The complete answer of the server. */
export interface AnsweredFrame {
  readonly kind: 'answered';
  readonly callId: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly load: GateLoad;
}

/** The request may have run, and there is no answer. */
export interface FailedFrame {
  readonly kind: 'failed';
  readonly callId: number;
  readonly detail: string;
  readonly load: GateLoad;
}

/** One incarnation of a server that is confirmed to drain or to have ended. */
export interface EndedServer {
  readonly instanceId: string;
  /** Start time in Unix milliseconds; undefined if the server did not report it. */
  readonly startedAt?: number | undefined;
}

/** A server that drains or has ended, and the node that is its gate. */
export interface EndedNodeServer extends EndedServer {
  readonly node: string;
}

/** Reports the load of the sender's server. */
export interface LoadFrame {
  readonly kind: 'load';
  readonly load: GateLoad;
  /** The server that has just begun to drain or has just left, if any. */
  readonly endedServer?: EndedServer | undefined;
}

/** A configuration, in the form in which the operator wrote it. */
export interface ConfigurationFrame {
  readonly kind: 'configuration';
  readonly version: number;
  readonly content: Uint8Array;
}

/** The evacuated availability zones at one revision of the store. */
export interface EvacuationSnapshot {
  /** Era of the store; revisions are comparable only within one era. */
  readonly era: number;
  readonly revision: number;
  readonly zones: readonly EvacuatedZone[];
  /**
   * Zones that the sender keeps evacuated although a restored copy of the store lacks them, because the operator may write
   * them again.
   */
  readonly heldZones?: readonly HeldZone[] | undefined;
}

/** A zone that stays evacuated for some time, unless the operator writes its evacuation again. */
export interface HeldZone {
  readonly availabilityZone: string;
  readonly remainingMilliseconds: number;
}

export interface EvacuatedZone {
  readonly availabilityZone: string;
  /** Revision at which the operator wrote the evacuation. */
  readonly revision: number;
}

/** The crash of a server that was running a certain request. */
export interface CrashReport {
  /** Unique among all crashes. */
  readonly id: string;
  readonly ageMilliseconds: number;
  /** Time for which the request had been running. */
  readonly runMilliseconds: number;
  /** Whether a server has completed the request since. */
  readonly isRefuted: boolean;
}

/** A request that was running on servers that crashed. */
export interface CrashRecord {
  /** Identifies the request by its content. */
  readonly fingerprint: string;
  readonly crashes: readonly CrashReport[];
}

/** A record that a node that does not reach the store has another node write. */
export interface RecordRequest {
  readonly name: string;
  readonly value: Uint8Array;
}

/** Reports the version of the configuration that is in force at the sender. */
export interface VersionFrame {
  readonly kind: 'version';
  readonly version: number;
  /** Whether the store has just shown the sender that this version is the newest. */
  readonly isConfirmed?: boolean | undefined;
  /** Whether the sender has just got a proof of this from the store, for which the receiver may ask. */
  readonly isProven?: boolean | undefined;
  /** The newest store era that the sender has observed, for nodes that do not query the store themselves. */
  readonly storeEra?: number | undefined;
  /** The evacuated zones, if they have changed. */
  readonly evacuations?: EvacuationSnapshot | undefined;
  /** News of requests that were running on servers that crashed. */
  readonly crashRecords?: readonly CrashRecord[] | undefined;
  /** The departure of a server that the receiver is to record in the store. */
  readonly recordRequest?: RecordRequest | undefined;
  /** Name of the record that the store has acknowledged to the sender. */
  readonly recordedName?: string | undefined;
}

/** Reports whether the sender can reach the store. */
export interface StoreReachFrame {
  readonly kind: 'store-reach';
  readonly reachesStore: boolean;
}

/** Requests the configuration that is in force at the receiver. */
export interface PullFrame {
  readonly kind: 'pull';
}

/** Asks for the receiver's proof of which version of the configuration is the newest. */
export interface ProofRequestFrame {
  readonly kind: 'proof-request';
  readonly number: number;
}

/** Answers a request for a proof, if the sender holds a valid one. */
export interface ProofFrame {
  readonly kind: 'proof';
  readonly number: number;
  readonly version: number;
  readonly ageMilliseconds: number;
}

/** Announces other nodes to the receiver. */
export interface MembersFrame {
  readonly kind: 'members';
  readonly members: readonly MeshNode[];
}

/** Announces that the sender's process is shutting down. */
export interface LeavingFrame {
  readonly kind: 'leaving';
}

/** Frames from an entry to a gate. */
export type RequestFrame = StartFrame | CancelFrame;
/** Frames from a gate to an entry. */
export type ReplyFrame = DeclinedFrame | AnsweredFrame | FailedFrame;
export type ControlFrame =
  | AllotmentAskFrame
  | AllotmentGrantFrame
  | LoadFrame
  | ConfigurationFrame
  | VersionFrame
  | StoreReachFrame
  | PullFrame
  | ProofRequestFrame
  | ProofFrame
  | MembersFrame
  | LeavingFrame;
export type MeshFrame = RequestFrame | ReplyFrame | ControlFrame;
