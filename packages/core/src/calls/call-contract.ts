import type { LoadReport } from '../messages/load-report.js';
import type { CallOutcome, Refusal, RequestClass, RetryReason } from '../messages/outcome.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A call to a service, made for a caller or for a key's home. */
export interface Call {
  readonly callNumber: number;
  readonly service: string;
  readonly requestClass: RequestClass;
  /** Monotonic time by which the outcome is due. */
  readonly deadline: number;
  /** Whether the body can be sent again after it was consumed. */
  readonly bodyHeld: boolean;
  /** Tried first if it may be chosen: the home's own server. */
  readonly preferredServer?: string | undefined;
}

/** Sends the call to a target. `attemptId` is unique in the node's life and names it on the wire. */
export interface DispatchCommand {
  readonly kind: 'dispatch';
  readonly callNumber: number;
  readonly attemptId: number;
  readonly target: Target;
  readonly remainingMilliseconds: number;
  /** Present for every attempt after the first. */
  readonly retryReason?: RetryReason | undefined;
}

/** Withdraws an attempt whose answer is no longer wanted. */
export interface CancelAttemptCommand {
  readonly kind: 'cancel-attempt';
  readonly attemptId: number;
  readonly target: Target;
}

/** Ends the call. `attemptId` names the attempt whose answer is delivered. */
export interface ConcludeCommand {
  readonly kind: 'conclude';
  readonly callNumber: number;
  readonly outcome: CallOutcome;
  readonly attemptId?: number | undefined;
}

export type CallCommand = DispatchCommand | CancelAttemptCommand | ConcludeCommand;

/** Tokens that successes have earned and repeats have spent, since the start. */
export interface RetryBudgetUse {
  readonly service: string;
  readonly earned: number;
  readonly spent: number;
}

/** Runs calls: first attempts, retries, hedges, deadlines. */
export interface CallEngineContract {
  configure(configuration: ServiceConfiguration): void;
  begin(call: Call, now: ClockReading): readonly CallCommand[];
  /** A streamed body is being consumed from now on; the call can't be sent elsewhere. */
  admitted(attemptId: number, now: ClockReading): readonly CallCommand[];
  refused(attemptId: number, refusal: Refusal, now: ClockReading): readonly CallCommand[];
  answered(
    attemptId: number,
    status: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[];
  /** The attempt may have run and gave no answer. */
  failed(
    attemptId: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[];
  /** The frame could not be sent at all: the attempt did not start. */
  notSent(attemptId: number, congested: boolean, now: ClockReading): readonly CallCommand[];
  /** The connection to a server was lost: every attempt there may have run. */
  peerLost(server: string, now: ClockReading): readonly CallCommand[];
  /** The caller went away. */
  abandon(callNumber: number, now: ClockReading): readonly CallCommand[];
  tick(now: ClockReading): readonly CallCommand[];
  retryBudgets(): readonly RetryBudgetUse[];
  readonly callsInProgress: number;
  /** Results that came for attempts which were no longer wanted; they were ignored. */
  readonly lateResults: number;
}
