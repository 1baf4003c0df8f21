import type { CrashedRun } from '../quarantine/request-quarantine.js';
import type { DeclineReason, HeaderList, ReplyFrame, StartFrame } from '../messages/mesh-frames.js';

/** A request that the gate passes to its server. */
export interface Execution {
  readonly executionId: number;
  /** Instance identifier of the server that is to run the request. */
  readonly instanceId: string;
  readonly frame: StartFrame;
  /** Monotonic time by which the response is due. */
  readonly deadline: number;
}

/** Outcome of a request at the server. */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    }
  /** The server refused the request, or no connection was made: it did not run. */
  | { readonly kind: 'not-run'; readonly reason: DeclineReason; readonly detail: string }
  /** The request may have run, but there is no response. */
  | {
      readonly kind: 'failed';
      readonly detail: string;
      /** Whether the connection closed before the response was complete, though this node did not close it. */
      readonly isConnectionLost?: boolean | undefined;
    };

/** The end of the process, as far as it concerns the gate. */
export interface GateStopSchedule {
  /** From this time on, the gate declines all requests. */
  readonly gateClosesFrom: number;
  /** The process exits at this time at the latest. */
  readonly exitsAt: number;
}

/** Load that the server reports with its responses. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current service time relative to normal, 1 for normal; undefined if the server does not report it. */
  readonly slowdown: number | undefined;
}

/** What a server states about itself in the header of a response. */
export interface ServerNotice {
  /** The server that responded. */
  readonly instanceId: string;
  /** Requests per second that it takes from all nodes together; infinite if it states no limit, undefined if the value is invalid. */
  readonly requestsPerSecond: number | undefined;
  /** Whether it leaves, so that it should get no further requests. */
  readonly isLeaving: boolean;
}

/** State that a server reports about itself. */
export interface ServerReport {
  readonly instanceId: string;
  /** Start of the server in Unix milliseconds; undefined if it is not reported. */
  readonly startedAt: number | undefined;
  readonly sequence: number;
  readonly slots: number;
  readonly draining: boolean;
  readonly coldMilliseconds: number;
}

/** Operations that the gate performs outside this package, implemented by its owner. */
export interface GatePort {
  run(execution: Execution): void;
  /** Aborts a request at the server. */
  abort(executionId: number): void;
  /**
   * Finds out whether anything accepts connections at the server's address; the implementation calls
   * `ServerGate.onListenerChecked` with the result.
   */
  checkListener(): void;
  /**
   * Sends a health check, which shows the server's load and whether it is cold; the implementation calls
   * `ServerGate.onProbeFinished` afterwards.
   */
  probe(): void;
  /**
   * Sends a reply to the incarnation `boot` of a node's process, and to no other: a later incarnation numbers its calls
   * anew, and would take the reply for that to a call of its own.
   */
  reply(node: string, boot: number, frame: ReplyFrame): void;
  /** Called when the server has crashed, with the runs that this ended, the one that started last first. */
  onServerCrashed(runs: readonly CrashedRun[]): void;
  /** Called when the state of the server or of the gate has changed. */
  onStateChanged(): void;
}

/** Names of the gate's log events. They must stay stable, since operators filter and alert on them. */
export const GateEventName = {
  EvacuationEnded: 'gate-evacuation-ended',
  EvacuationStarted: 'gate-evacuation-started',
  RequestCancelled: 'request-cancelled',
  RequestDeclined: 'request-declined',
  RequestFinished: 'request-finished',
  RequestStarted: 'request-started',
  ServerLimitChanged: 'server-limit-changed',
  ServerAssumedCold: 'server-assumed-cold',
  ServerCrashed: 'server-crashed',
  ServerDraining: 'server-draining',
  ServerLeft: 'server-left',
  ServerNotUsed: 'server-not-used',
  ServerReady: 'server-ready',
  ServerReportIgnored: 'server-report-ignored',
} as const;
export type GateEventName = (typeof GateEventName)[keyof typeof GateEventName];

/** Why a server that reports or answers health checks gets no requests. */
export const ServerNotUsedReason = {
  /** It announced to this process that it drains or leaves. */
  Left: 'left',
  /** Its departure was recorded in the store before this process started. */
  LeftBeforeStart: 'left-before-start',
  /** Whether it has left is not known: the store does not answer, or was restored from an older copy. */
  Unverified: 'unverified',
} as const;
export type ServerNotUsedReason = (typeof ServerNotUsedReason)[keyof typeof ServerNotUsedReason];

/** What shows the gate that a server is there. */
export const ServerEvidence = {
  HealthCheck: 'health-check',
  Report: 'report',
} as const;
export type ServerEvidence = (typeof ServerEvidence)[keyof typeof ServerEvidence];

/** A log event of the gate. */
export interface GateEvent {
  readonly event: GateEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
