import type { ClockReading } from '../shared/clock-reading.js';
import type { TargetPool } from './target-pool.js';
import type { TargetState } from './target-state.js';

/** What a policy chooses from: the targets of one service that are neither ejected nor draining. */
export interface SelectionScope {
  /** Targets in the entry's region, including its own availability zone. */
  readonly region: TargetPool;
  /** Targets in the entry's own availability zone. */
  readonly zone: TargetPool;
  /** Mean over the service's targets of the load by other entries relative to the target's limit. */
  readonly meanOtherEntriesRatio: number;
  /** Mean of the service times in milliseconds that targets report; 0 before the first report. */
  readonly meanReportedLatency: number;
  /** Median latency in milliseconds; undefined while there are too few samples. */
  readonly medianRequestLatency: number | undefined;
}

/** Chooses one target of a service. Benchmarks compare implementations of this interface. */
export interface SelectionPolicy {
  readonly name: string;
  select(
    scope: SelectionScope,
    excluded: ReadonlySet<string>,
    now: ClockReading,
  ): TargetState | undefined;
}
