import type { LoadReport } from '../messages/load-report.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A gate that a request can be sent to. */
export interface Target {
  readonly server: string;
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly service: string;
  readonly slots: number;
  /** A draining target is chosen only when no other target is available. */
  readonly draining: boolean;
}

export const AttemptOutcome = {
  Answered: 'answered',
  Cancelled: 'cancelled',
  Failed: 'failed',
  Refused: 'refused',
  Unreachable: 'unreachable',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Chooses the target of each attempt by the load and the results that this node has observed. */
export interface RouterContract {
  /** Adds or updates a target. A higher incarnation starts without the history of the earlier one. */
  upsert(target: Target, now: ClockReading): void;
  remove(server: string): void;
  targets(service: string): readonly Target[];
  /**
   * `avoidTrial` is set for calls that can't be sent again: they become the trial request of an ejected
   * target only when a trial has been due for some time and no other call took it.
   */
  choose(
    service: string,
    excluded: ReadonlySet<string>,
    now: ClockReading,
    avoidTrial?: boolean,
  ): Target | undefined;
  /** The named server if it serves the service, is neither ejected nor draining, and has capacity. */
  chooseServer(service: string, server: string, now: ClockReading): Target | undefined;
  onSent(server: string, now: ClockReading): void;
  onLoadReport(server: string, load: LoadReport, now: ClockReading): void;
  onAttemptEnded(
    server: string,
    outcome: AttemptOutcome,
    latencyMilliseconds: number,
    now: ClockReading,
  ): void;
  /** Latency of the service at a quantile, for hedging; undefined while there are too few samples. */
  latencyQuantile(service: string, quantile: number): number | undefined;
  /** Targets whose gates have not reported for some time and should be probed for their load. */
  targetsDueForProbe(now: ClockReading): readonly Target[];
  /** Whether targets may become due for a probe, because their service was used recently. */
  readonly isProbing: boolean;
}
