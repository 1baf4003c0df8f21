import type { DeclineReason, HeaderList, ReplyFrame, StartFrame } from '../messages/mesh-frames.js';

/** A request that the gate hands to its server. */
export interface Execution {
  readonly executionId: number;
  /** The lifetime of the server that is meant to run the request. */
  readonly instanceId: string;
  readonly frame: StartFrame;
  /** Monotonic time by which the answer is due. */
  readonly deadline: number;
}

/** What became of a request at the server. */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    }
  /** The server, or its address, said that the request did not run. */
  | { readonly kind: 'not-run'; readonly reason: DeclineReason; readonly detail: string }
  /** The request may have run. */
  | { readonly kind: 'failed'; readonly detail: string };

/** Load that the server reports with its answers. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes at this moment relative to the usual; undefined if the server does not say. */
  readonly slowdown: number | undefined;
}

/** What a server says of itself. */
export interface ServerReport {
  readonly instanceId: string;
  /** Unix milliseconds of the server's start; undefined if it does not say. */
  readonly startedAt: number | undefined;
  readonly sequence: number;
  readonly slots: number;
  readonly draining: boolean;
  readonly coldMilliseconds: number;
}

/** How the gate acts on the world. */
export interface GatePort {
  run(execution: Execution): void;
  /** Aborts a request at the server. */
  abort(executionId: number): void;
  /** Asks the server for its load; `ServerGate.probed` follows. */
  probe(): void;
  reply(node: string, frame: ReplyFrame): void;
  /** The state of the server changed. */
  loadChanged(): void;
}

/** Names of the gate's events; they are stable, since operators filter and alert by them. */
export const GateEventName = {
  RequestCancelled: 'request-cancelled',
  RequestDeclined: 'request-declined',
  RequestFinished: 'request-finished',
  RequestStarted: 'request-started',
  ServerDraining: 'server-draining',
  ServerLeft: 'server-left',
  ServerReady: 'server-ready',
  ServerReportIgnored: 'server-report-ignored',
} as const;
export type GateEventName = (typeof GateEventName)[keyof typeof GateEventName];

/** One line of the gate's log. */
export interface GateEvent {
  readonly event: GateEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
