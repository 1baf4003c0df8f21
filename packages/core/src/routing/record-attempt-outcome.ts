import { AttemptOutcome } from './router-contract.js';
import type { ServiceTargets } from './service-targets.js';
import { isFailure } from './outlier-ejection.js';
import type { TargetState } from './target-state.js';

/**
 * Failures are recorded with at least this multiple of the median latency, which includes no
 * failures.
 */
const failureLatencyFactor = 4;

/**
 * Records how an attempt ended. A failure is recorded with a high latency, because a target that fails
 * fast must not look fast.
 */
export function recordAttemptOutcome(
  state: TargetState,
  service: ServiceTargets,
  outcome: AttemptOutcome,
  latencyMilliseconds: number,
  now: number,
): void {
  if (outcome === AttemptOutcome.Refused) return;
  state.recordOutcome(isFailure(outcome));
  service.recordOutcome(isFailure(outcome));
  if (isFailure(outcome)) {
    const penaltyLatency = failureLatencyFactor * (service.medianRequestLatency ?? 0);
    state.recordLatency(Math.max(latencyMilliseconds, penaltyLatency), now);
    return;
  }
  // A cancelled attempt shows only that the latency is at least the time until the cancellation.
  if (outcome === AttemptOutcome.Cancelled && latencyMilliseconds < (state.latency ?? Infinity))
    return;
  state.recordLatency(latencyMilliseconds, now);
  service.latencies.record(latencyMilliseconds);
}
