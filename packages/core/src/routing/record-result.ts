import { AttemptEnd } from './router-contract.js';
import type { ServiceTargets } from './service-targets.js';
import { isFailure } from './shun-rule.js';
import type { TargetState } from './target-state.js';

/** A failure counts as this many times the median latency of answers, which contains no failures. */
const failureLatencyFactor = 4;

/** Notes a result. A fast failure must not look like a short latency, so it counts as the worst one. */
export function recordResult(
  state: TargetState,
  service: ServiceTargets,
  end: AttemptEnd,
  latencyMilliseconds: number,
  now: number,
): void {
  if (end === AttemptEnd.Refused) return;
  state.recordOutcome(isFailure(end));
  service.recordOutcome(isFailure(end));
  if (isFailure(end)) {
    const worst = failureLatencyFactor * (service.typicalLatency ?? 0);
    state.recordLatency(Math.max(latencyMilliseconds, worst), now);
    return;
  }
  // A withdrawn attempt says only that the latency is at least the time until then.
  if (end === AttemptEnd.Cancelled && latencyMilliseconds < (state.latency ?? Infinity)) return;
  state.recordLatency(latencyMilliseconds, now);
  service.latencies.record(latencyMilliseconds);
}
