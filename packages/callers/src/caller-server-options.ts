import type { SharedServerOptions } from '@peridotspring/http-server';
import type {
  CallerDisconnectedMessage,
  CallerRequestMessage,
  CallOutcome,
  Configuration,
} from '@peridotspring/core';

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly connections: number;
  /** Requests in progress; more are refused with `entry-busy`. */
  readonly requests: number;
  /** Bodies up to this size are buffered, so that they can be sent again on a retry. */
  readonly bufferedBodyBytes: number;
  /** Longest body of an idempotent request. */
  readonly bodyBytes: number;
  /** Longest body of a non-idempotent request. */
  readonly keyedBodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  /** Time without a request, or in which a caller does not read on. */
  readonly idleTimeoutMilliseconds: number;
  readonly requestTimeoutMilliseconds: number;
}

/** A request that was refused or answered, for metrics and logs. */
export interface FinishedRequest {
  /** Undefined when the request head could not be parsed. */
  readonly requestId: string | undefined;
  readonly service: string;
  readonly tenant: string;
  readonly outcome: CallOutcome;
  /** Set when the entry itself refused the request. */
  readonly refusedDetail?: string | undefined;
  readonly milliseconds: number;
}

/** The memory is for connections, heads, buffered bodies and answers that are not read yet. */
export interface CallerServerOptions extends SharedServerOptions {
  /** Tenant of requests without a tenant header. */
  readonly defaultTenant: string;
  readonly limits: CallerLimits;
  /** Prefix of all request identifiers of this incarnation of the node. */
  readonly requestIdPrefix: string;
  readonly configuration: () => Configuration;
  readonly isStopping: () => boolean;
  readonly deliver: (message: CallerRequestMessage | CallerDisconnectedMessage) => void;
  readonly onFinished: (request: FinishedRequest) => void;
}
