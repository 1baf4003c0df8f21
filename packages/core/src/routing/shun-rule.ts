import { GateState } from '../messages/load-report.js';
import { AttemptEnd } from './router-contract.js';
import { TargetStanding } from './target-state.js';
import type { TargetState } from './target-state.js';

/** A target is slow when its latency is this many times the service's median. */
const slowFactor = 3;
/** A single slow answer says nothing; this many make an average. */
const slowSamples = 6;
/** Differences below this are noise of the network and of timers. */
const slowFloorMilliseconds = 5;
/** With the weight of the newest outcome, three failures in a row exceed this rate. */
const failureRateLimit = 0.55;
/**
 * A target fails more than usual above the service's rate by this much. When all targets fail
 * half of their requests, it takes about ten failures in a row, so that chance does not shun them.
 */
const failureRateMargin = 0.45;
/** When everything failed lately, a target that fails about twenty times in a row still leaves. */
const highestFailureRateLimit = 0.995;
/** Above this failure rate of the service, one failure says little of its target. */
const unusualServiceFailureRate = 0.3;
const firstShunMilliseconds = 250;
const longestShunMilliseconds = 10_000;
/** Time over which a target that returned gets its full share again. */
const returnRampMilliseconds = 2_000;
/** After this time without a new shun the next one starts at the shortest time again. */
const forgiveMilliseconds = 20_000;

/** How one attempt at a target ended. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly latencyMilliseconds: number;
  /** Median of the moving averages of the service's targets. */
  readonly medianLatency: number | undefined;
  /** Recent share of failures among the results of all targets. */
  readonly serviceFailureRate: number;
  readonly now: number;
}

/** What follows from a result for the standing of the target. */
export type ShunVerdict = 'keep' | 'restore' | 'shun';

/** Decides when a target leaves the ordinary choice and when it returns. */
export function judgeResult(target: TargetState, result: AttemptResult): ShunVerdict {
  const isBad = isFailure(result.end);
  if (target.standing === TargetStanding.Shunned) return judgeTrial(target, result);
  if (result.end === AttemptEnd.Unreachable) return 'shun';
  if (isBad && failsUnusuallyOften(target, result)) return 'shun';
  // A cold server is slow at first, and its gate limits what it gets; without work it stays cold.
  if (target.report?.state === GateState.Warming) return 'keep';
  const hasSamples = target.latencySamples >= slowSamples;
  return hasSamples && isSlow(target.latency, result.medianLatency) ? 'shun' : 'keep';
}

/** Puts the target out of the ordinary choice, for twice as long as the last time. */
export function shun(target: TargetState, serviceFailureRate: number, now: number): void {
  const isForgiven =
    now - target.returnedAt > forgiveMilliseconds && target.trialSentAt === undefined;
  const isFirst = target.shunMilliseconds === 0 || isForgiven;
  target.shunMilliseconds =
    isFirst || areFailuresUsual(serviceFailureRate)
      ? firstShunMilliseconds
      : Math.min(longestShunMilliseconds, target.shunMilliseconds * 2);
  target.standing = TargetStanding.Shunned;
  target.trialAt = now + target.shunMilliseconds;
  target.trialSentAt = undefined;
}

/** Returns the target to the ordinary choice with a growing share. */
export function restore(target: TargetState, now: number): void {
  target.standing = TargetStanding.Open;
  target.trialSentAt = undefined;
  target.returnedAt = now;
  target.forgetHistory();
  target.startRamp(now, returnRampMilliseconds, true);
}

/** Whether the end counts against the target: it gave no answer, or could not be reached. */
export function isFailure(end: AttemptEnd): boolean {
  return end === AttemptEnd.Failed || end === AttemptEnd.Unreachable;
}

/** Whether the service as a whole fails so often that a failure says little of its target. */
export function areFailuresUsual(serviceFailureRate: number): boolean {
  return serviceFailureRate > unusualServiceFailureRate;
}

/** Only a request that was sent as the trial or after it says whether the target has recovered. */
function judgeTrial(target: TargetState, result: AttemptResult): ShunVerdict {
  const sentAt = result.now - result.latencyMilliseconds;
  if (target.trialSentAt === undefined || sentAt < target.trialSentAt) return 'keep';
  if (isFailure(result.end) || result.end === AttemptEnd.Cancelled) return 'shun';
  if (result.end === AttemptEnd.Refused) return 'keep';
  return isSlow(result.latencyMilliseconds, result.medianLatency) ? 'shun' : 'restore';
}

function failsUnusuallyOften(target: TargetState, result: AttemptResult): boolean {
  const limit = Math.max(failureRateLimit, result.serviceFailureRate + failureRateMargin);
  return target.failureRate > Math.min(highestFailureRateLimit, limit);
}

function isSlow(latency: number | undefined, median: number | undefined): boolean {
  if (latency === undefined || median === undefined) return false;
  return latency > slowFactor * median && latency > median + slowFloorMilliseconds;
}
