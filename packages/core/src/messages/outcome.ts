import type { LoadReport } from './load-report.js';

export const RequestClass = {
  Idempotent: 'idempotent',
  NonIdempotent: 'non-idempotent',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** Why a request was refused without having run. Each reason is counted separately. */
export const RefusalReason = {
  // Reported by a gate.
  DeadlineTooShort: 'deadline-too-short',
  Draining: 'draining',
  NoSlot: 'no-slot',
  NotServingService: 'not-serving-service',
  QueueFull: 'queue-full',
  TenantLimit: 'tenant-limit',
  TenantOverShare: 'tenant-over-share',
  UpstreamDown: 'upstream-down',
  WarmingUp: 'warming-up',
  // Reported by an entry.
  AllTargetsRefused: 'all-targets-refused',
  BodyTooLarge: 'body-too-large',
  ConflictingLengths: 'conflicting-lengths',
  DeadlineExpired: 'deadline-expired',
  DeadlineMalformed: 'deadline-malformed',
  DepthExceeded: 'depth-exceeded',
  EntryBusy: 'entry-busy',
  HeadersTooLarge: 'headers-too-large',
  KeyMalformed: 'key-malformed',
  KeyMissing: 'key-missing',
  NodeStopping: 'node-stopping',
  NoUpstream: 'no-upstream',
  PeerCongested: 'peer-congested',
  PeerUnreachable: 'peer-unreachable',
  UnknownService: 'unknown-service',
  // Reported by a home.
  KeyFromFuture: 'key-from-future',
  KeyReused: 'key-reused',
  KeyStoreFull: 'key-store-full',
  VoidAttempt: 'void-attempt',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/**
 * Why it is unknown whether a request ran. Each reason is counted separately. Reasons that are also
 * refusal reasons apply to a keyed request that this node refused without sending it: an earlier
 * attempt with the same key may have run.
 */
export const UnknownReason = {
  AnswerCut: 'answer-cut',
  AnswerNotKept: 'answer-not-kept',
  AnswerTooLarge: 'answer-too-large',
  ConnectionLost: 'connection-lost',
  CreatedBeforeTakeover: 'created-before-takeover',
  DeadlineAfterStart: 'deadline-after-start',
  DeadlineMalformed: 'deadline-malformed',
  DepthExceeded: 'depth-exceeded',
  EntryBusy: 'entry-busy',
  HomeUnreachable: 'home-unreachable',
  KeyBusy: 'key-busy',
  KeyTooOld: 'key-too-old',
  NoHome: 'no-home',
  NodeStopping: 'node-stopping',
  NoLease: 'no-lease',
  UpstreamFailed: 'upstream-failed',
} as const;
export type UnknownReason = (typeof UnknownReason)[keyof typeof UnknownReason];

/** Why a further attempt was made. Each reason is counted separately. */
export const RetryReason = {
  AttemptFailed: 'attempt-failed',
  Hedge: 'hedge',
  RefusedElsewhere: 'refused-elsewhere',
} as const;
export type RetryReason = (typeof RetryReason)[keyof typeof RetryReason];

/** A refusal by a gate: the request was not started there. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds?: number | undefined;
  readonly load?: LoadReport | undefined;
}

export interface AnsweredOutcome {
  readonly kind: 'answered';
  readonly status: number;
}

export interface RefusedOutcome {
  readonly kind: 'refused-not-run';
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds?: number | undefined;
}

export interface UnknownOutcome {
  readonly kind: 'outcome-unknown';
  readonly reason: UnknownReason;
  /** Whether this attempt of the caller may have reached an upstream. */
  readonly attemptStarted: boolean;
  readonly retryAfterMilliseconds?: number | undefined;
}

/** The final outcome reported to the caller of a request. */
export type CallOutcome = AnsweredOutcome | RefusedOutcome | UnknownOutcome;
