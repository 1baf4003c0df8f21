import type { LoadReport } from '../messages/load-report.js';
import type { CallOutcome, Refusal, RequestClass, RetryReason } from '../messages/outcome.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A call to a service, made for a caller or for the home of a key. */
export interface Call {
  readonly callNumber: number;
  readonly service: string;
  readonly requestClass: RequestClass;
  /** Monotonic time by which the outcome is due. */
  readonly deadline: number;
  /**
   * Whether the whole body is buffered, so that it can be sent again after an upstream consumed it.
   */
  readonly isBodyReplayable: boolean;
  /** Server to try first if it is available; set to the home's own server. */
  readonly preferredServer?: string | undefined;
}

/**
 * Sends the call to a target. `attemptId` is unique within a node's incarnation and sent in frames.
 */
export interface DispatchCommand {
  readonly kind: 'dispatch';
  readonly callNumber: number;
  readonly attemptId: number;
  readonly target: Target;
  readonly remainingMilliseconds: number;
  /** Present for every attempt after the first. */
  readonly retryReason?: RetryReason | undefined;
}

/** Cancels an attempt whose answer is no longer needed. */
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

/** Tokens earned by successes and spent on retries and hedges since the process started. */
export interface RetryBudgetUse {
  readonly service: string;
  readonly earned: number;
  readonly spent: number;
}

/** Runs calls: manages their first attempts, retries, hedges and deadlines. */
export interface CallEngineContract {
  configure(configuration: ServiceConfiguration): void;
  begin(call: Call, now: ClockReading): readonly CallCommand[];
  /**
   * The upstream starts to consume a streamed body; the call can't be sent to another server any
   * more.
   */
  onAdmitted(attemptId: number, now: ClockReading): readonly CallCommand[];
  onRefused(attemptId: number, refusal: Refusal, now: ClockReading): readonly CallCommand[];
  onAnswered(
    attemptId: number,
    status: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[];
  /** The attempt failed without an answer; it may have run. */
  onFailed(
    attemptId: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[];
  /** The frame could not be sent, so the attempt did not start. */
  onNotSent(attemptId: number, isCongested: boolean, now: ClockReading): readonly CallCommand[];
  /** The connection to a server was lost; every attempt there may have run. */
  onPeerLost(server: string, now: ClockReading): readonly CallCommand[];
  /** The caller disconnected. */
  onCallerDisconnected(callNumber: number, now: ClockReading): readonly CallCommand[];
  tick(now: ClockReading): readonly CallCommand[];
  retryBudgets(): readonly RetryBudgetUse[];
  readonly callsInProgress: number;
  /** Number of results that were ignored because their attempt had already ended. */
  readonly lateResults: number;
}
