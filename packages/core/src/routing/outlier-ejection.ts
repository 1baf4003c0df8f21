import { GateState } from '../messages/load-report.js';
import { AttemptOutcome } from './router-contract.js';
import { TargetStatus } from './target-state.js';
import type { TargetState } from './target-state.js';

/** A target is slow if its latency exceeds this multiple of the service's median. */
const slowLatencyFactor = 3;
/**
 * Latency samples required before a target can be ejected as slow; a single slow answer proves
 * nothing.
 */
const minimumSlowSamples = 6;
/** Smaller differences from the median are noise of the network and of timers. */
const minimumSlowExcessMilliseconds = 5;
/**
 * With the weight of the newest outcome in the moving average, three consecutive failures exceed
 * this.
 */
const failureRateLimit = 0.55;
/**
 * A target is ejected only if its failure rate exceeds the service's rate by this much. When all targets
 * fail half of their requests, that takes about ten consecutive failures, so that targets are not
 * ejected by chance.
 */
const failureRateMargin = 0.45;
/** Even if the whole service is failing, about twenty consecutive failures eject a target. */
const maximumFailureRateLimit = 0.995;
/** Above this failure rate of the whole service, a failure says little about the single target. */
const serviceWideFailureRate = 0.3;
const initialEjectionMilliseconds = 250;
const maximumEjectionMilliseconds = 10_000;
/** Time over which the share of a restored target grows to its full value. */
const restoreRampMilliseconds = 2_000;
/** After this time without an ejection, the next one lasts the initial time again. */
const ejectionResetMilliseconds = 20_000;

/** How an attempt ended, with the state of the service that it is compared with. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly latencyMilliseconds: number;
  /** Median of the average latencies of the service's targets, in milliseconds. */
  readonly medianLatency: number | undefined;
  /** Moving average of the share of failures among the results of all targets. */
  readonly serviceFailureRate: number;
  readonly now: number;
}

/** How a result changes the status of the target; `shun` ejects it. */
export type EjectionVerdict = 'keep' | 'restore' | 'shun';

/** Decides after a result whether to eject or to restore the target. */
export function evaluateResult(target: TargetState, result: AttemptResult): EjectionVerdict {
  const isBad = isFailure(result.outcome);
  if (target.status === TargetStatus.Shunned) return evaluateTrial(target, result);
  if (result.outcome === AttemptOutcome.Unreachable) return 'shun';
  if (isBad && exceedsFailureRateLimit(target, result)) return 'shun';
  // A cold server is slow at first. Its gate limits its load, and without requests it would not warm up.
  if (target.report?.state === GateState.Warming) return 'keep';
  const hasSamples = target.latencySamples >= minimumSlowSamples;
  return hasSamples && isSlow(target.latency, result.medianLatency) ? 'shun' : 'keep';
}

/** Ejects the target, for twice as long as the last time. */
export function eject(target: TargetState, serviceFailureRate: number, now: number): void {
  const isReset =
    now - target.restoredAt > ejectionResetMilliseconds && target.trialSentAt === undefined;
  const isFirst = target.ejectionMilliseconds === 0 || isReset;
  target.ejectionMilliseconds =
    isFirst || areFailuresServiceWide(serviceFailureRate)
      ? initialEjectionMilliseconds
      : Math.min(maximumEjectionMilliseconds, target.ejectionMilliseconds * 2);
  target.status = TargetStatus.Shunned;
  target.nextTrialAt = now + target.ejectionMilliseconds;
  target.trialSentAt = undefined;
}

/** Ends the ejection; the share of the target grows from a small initial value. */
export function restore(target: TargetState, now: number): void {
  target.status = TargetStatus.Open;
  target.trialSentAt = undefined;
  target.restoredAt = now;
  target.resetHistory();
  target.startRamp(now, restoreRampMilliseconds, true);
}

/** Whether the outcome counts as a failure of the target: it failed or could not be reached. */
export function isFailure(outcome: AttemptOutcome): boolean {
  return outcome === AttemptOutcome.Failed || outcome === AttemptOutcome.Unreachable;
}

/** Whether the whole service fails so often that a failure says little about the single target. */
export function areFailuresServiceWide(serviceFailureRate: number): boolean {
  return serviceFailureRate > serviceWideFailureRate;
}

/** Only the trial request and requests sent after it show whether the target has recovered. */
function evaluateTrial(target: TargetState, result: AttemptResult): EjectionVerdict {
  const sentAt = result.now - result.latencyMilliseconds;
  if (target.trialSentAt === undefined || sentAt < target.trialSentAt) return 'keep';
  if (isFailure(result.outcome) || result.outcome === AttemptOutcome.Cancelled) return 'shun';
  if (result.outcome === AttemptOutcome.Refused) return 'keep';
  return isSlow(result.latencyMilliseconds, result.medianLatency) ? 'shun' : 'restore';
}

function exceedsFailureRateLimit(target: TargetState, result: AttemptResult): boolean {
  const limit = Math.max(failureRateLimit, result.serviceFailureRate + failureRateMargin);
  return target.failureRate > Math.min(maximumFailureRateLimit, limit);
}

function isSlow(latency: number | undefined, median: number | undefined): boolean {
  if (latency === undefined || median === undefined) return false;
  return latency > slowLatencyFactor * median && latency > median + minimumSlowExcessMilliseconds;
}
