import type {
  CallerGoneMessage,
  CallerRequestMessage,
  CallOutcome,
  Configuration,
} from '@peridotspring/core';

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly connections: number;
  /** Requests in progress; more are refused with `entry-busy`. */
  readonly requests: number;
  /** Bodies up to this size are held, so that they can be sent again. */
  readonly heldBodyBytes: number;
  /** Longest body of an idempotent request. */
  readonly bodyBytes: number;
  /** Longest body of a non-idempotent request. */
  readonly keyedBodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly requestTimeoutMilliseconds: number;
}

/** A request that was refused or answered, for counters and the journal. */
export interface FinishedRequest {
  /** Undefined when the head could not be read, so that no request came to be. */
  readonly requestId: string | undefined;
  readonly service: string;
  readonly tenant: string;
  readonly outcome: CallOutcome;
  /** Present when the entry itself refused the request. */
  readonly refusedDetail?: string | undefined;
  readonly milliseconds: number;
}

export interface CallerServerOptions {
  readonly bindHost: string;
  readonly bindPort: number;
  /** Tenant of a request that names none. */
  readonly defaultTenant: string;
  readonly limits: CallerLimits;
  /** Starts every request identifier of this life of the node. */
  readonly requestIdPrefix: string;
  readonly configuration: () => Configuration;
  readonly isStopping: () => boolean;
  readonly clock: () => number;
  readonly deliver: (message: CallerRequestMessage | CallerGoneMessage) => void;
  readonly finished: (request: FinishedRequest) => void;
}
