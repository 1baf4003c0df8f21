import type { HeaderList, RequestFrame } from '../messages/mesh-frames.js';
import type { Route } from '../routes/route-configuration.js';
import type { Tenant } from '../tenants/tenant.js';

/** A caller's request, with its complete body. */
export interface EntryRequest {
  /** Unique among all requests that this process of the node has received. */
  readonly requestNumber: number;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array | undefined;
  readonly route: Route;
  /** The tenant on whose behalf the request is made; undefined for an anonymous one. */
  readonly tenant?: Tenant | undefined;
  /** Whether the caller sent the request behind another one, before it had an answer to that. */
  readonly isPipelined?: boolean | undefined;
  /** Monotonic time at which the request was received. */
  readonly receivedAt: number;
  /** Monotonic time at which the caller stops waiting; infinite if the caller stated no limit. */
  readonly callerDeadline: number;
}

export const RefusalCause = {
  /** The request is beyond the allotment of its tenant. */
  AllotmentUsed: 'allotment-used',
  DeadlineTooShort: 'deadline-too-short',
  /** No server of the service has the capacity to run the request before its deadline. */
  Overloaded: 'overloaded',
  NoServer: 'no-server',
  /** The caller's key may have been removed longer ago than is allowed. */
  KeyUnproven: 'key-unproven',
  /** The request has crashed several servers and is not sent to any further one. */
  Quarantined: 'quarantined',
  /** This node stops before the request might end. */
  Stopping: 'stopping',
} as const;
export type RefusalCause = (typeof RefusalCause)[keyof typeof RefusalCause];

export const UnknownCause = {
  AttemptFailed: 'attempt-failed',
  Timeout: 'timeout',
} as const;
export type UnknownCause = (typeof UnknownCause)[keyof typeof UnknownCause];

/** The outcome of a request. */
export type EntryOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    }
  /** The request did not run and will not run, so the caller may safely send it again. */
  | {
      readonly kind: 'refused';
      readonly cause: RefusalCause;
      readonly retryAfterMilliseconds: number;
    }
  /** The request may or may not have run. */
  | { readonly kind: 'unknown'; readonly cause: UnknownCause };

/** The I/O operations that the entry needs. */
export interface EntryPort {
  /** Returns false if there is no connection to the node; in that case nothing was sent. */
  send(nodeName: string, frame: RequestFrame): boolean;
  respond(request: EntryRequest, outcome: EntryOutcome): void;
}

/** Names of the entry's log events. They must not change, because operators filter and alert by them. */
export const EntryEventName = {
  AttemptFailed: 'attempt-failed',
  AttemptSentAgain: 'attempt-sent-again',
  AttemptUnconfirmed: 'attempt-unconfirmed',
  RequestAbandoned: 'request-abandoned',
  RequestConcluded: 'request-concluded',
  RequestMoved: 'request-moved',
  RequestNotRepeated: 'request-not-repeated',
  RequestPlaced: 'request-placed',
  RequestRepeated: 'request-repeated',
} as const;
export type EntryEventName = (typeof EntryEventName)[keyof typeof EntryEventName];

/** A log event of the entry. */
export interface EntryEvent {
  readonly event: EntryEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
