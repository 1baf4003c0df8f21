import type { ClockReading } from '../shared/clock-reading.js';
import type { TargetPool } from './target-pool.js';
import type { TargetState } from './target-state.js';

/** What a policy may choose from: the open targets of one service. */
export interface SelectionScope {
  /** Targets of the region, the own availability zone included. */
  readonly region: TargetPool;
  /** Targets of the own availability zone. */
  readonly zone: TargetPool;
  /** Mean load of the service's targets by other entries, relative to their limits. */
  readonly meanOthersRatio: number;
  /** Mean of the service times that the targets report; 0 while none did. */
  readonly meanReportedLatency: number;
  /** Typical latency of a request; undefined while nothing was answered. */
  readonly typicalLatency: number | undefined;
}

/** Chooses one of the open targets of a service; the seam at which policies are compared. */
export interface SelectionPolicy {
  readonly name: string;
  select(
    scope: SelectionScope,
    excluded: ReadonlySet<string>,
    now: ClockReading,
  ): TargetState | undefined;
}
