import type { HeaderList, RequestFrame } from '../messages/mesh-frames.js';
import type { Route } from '../routes/route-configuration.js';

/** A caller's request with its whole body. */
export interface EntryRequest {
  /** Unique in the life of the node. */
  readonly requestNumber: number;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array | undefined;
  readonly route: Route;
  /** Monotonic time when the request came in. */
  readonly receivedAt: number;
  /** Monotonic time until which the caller waits. */
  readonly callerDeadline: number;
}

export const RefusalCause = {
  DeadlineTooShort: 'deadline-too-short',
  /** Every server of the service has more to do than it can finish in time. */
  Overloaded: 'overloaded',
  NoServer: 'no-server',
} as const;
export type RefusalCause = (typeof RefusalCause)[keyof typeof RefusalCause];

export const UnknownCause = {
  AttemptFailed: 'attempt-failed',
  Timeout: 'timeout',
} as const;
export type UnknownCause = (typeof UnknownCause)[keyof typeof UnknownCause];

/** How a request ended. */
export type EntryOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    }
  /** The request did not run and will not. */
  | {
      readonly kind: 'refused';
      readonly cause: RefusalCause;
      readonly retryAfterMilliseconds: number;
    }
  /** The request may have run. */
  | { readonly kind: 'unknown'; readonly cause: UnknownCause };

/** How the entry acts on the world. */
export interface EntryPort {
  /** False if there is no connection to the node, so that nothing was sent. */
  send(node: string, frame: RequestFrame): boolean;
  respond(request: EntryRequest, outcome: EntryOutcome): void;
}

/** Names of the entry's events; they are stable, since operators filter and alert by them. */
export const EntryEventName = {
  AttemptFailed: 'attempt-failed',
  RequestAbandoned: 'request-abandoned',
  RequestConcluded: 'request-concluded',
  RequestMoved: 'request-moved',
  RequestNotRepeated: 'request-not-repeated',
  RequestPlaced: 'request-placed',
  RequestRepeated: 'request-repeated',
} as const;
export type EntryEventName = (typeof EntryEventName)[keyof typeof EntryEventName];

/** One line of the entry's log. */
export interface EntryEvent {
  readonly event: EntryEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
