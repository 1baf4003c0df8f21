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
  /** Draining targets are only chosen when there is no other. */
  readonly draining: boolean;
}

export const AttemptEnd = {
  Answered: 'answered',
  Cancelled: 'cancelled',
  Failed: 'failed',
  Refused: 'refused',
  Unreachable: 'unreachable',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Chooses the target of each attempt from what this node knows of their load. */
export interface RouterContract {
  /** Replaces what is known of one target, or adds it. A higher incarnation starts afresh. */
  upsert(target: Target, now: ClockReading): void;
  remove(server: string): void;
  targets(service: string): readonly Target[];
  /**
   * `avoidTrial` is set for calls that can't be repeated: they become the trial request of a shunned
   * target only when no other call did so for a time.
   */
  choose(
    service: string,
    excluded: ReadonlySet<string>,
    now: ClockReading,
    avoidTrial?: boolean,
  ): Target | undefined;
  /** The named server if it serves the service, is in the ordinary choice and seems to have room. */
  chooseServer(service: string, server: string, now: ClockReading): Target | undefined;
  sent(server: string, now: ClockReading): void;
  reported(server: string, load: LoadReport, now: ClockReading): void;
  concluded(server: string, end: AttemptEnd, latencyMilliseconds: number, now: ClockReading): void;
  /** Latency of the service at the given quantile, for hedging; undefined while too little is known. */
  latencyQuantile(service: string, quantile: number): number | undefined;
  /** Targets from which nothing was heard for a time and which are due for a probe to their gate. */
  dueForProbe(now: ClockReading): readonly Target[];
  /** Whether targets may become due for a probe, because their service was used lately. */
  readonly isProbing: boolean;
}
