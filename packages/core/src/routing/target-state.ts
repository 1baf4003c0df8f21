import type { LoadReport } from '../messages/load-report.js';
import type { Target } from './router-contract.js';

/**
 * Whether a target is regularly chosen. `open` targets are; `draining` ones are not, and neither are
 * `shunned` ones, which outlier ejection has ejected.
 */
export const TargetStatus = {
  Draining: 'draining',
  Open: 'open',
  Shunned: 'shunned',
} as const;
export type TargetStatus = (typeof TargetStatus)[keyof typeof TargetStatus];

/** Weight of the newest latency in a target's moving average. */
const latencyWeight = 0.2;
/** An older latency says little about the target's present state; the longest ejection is as long. */
const latencyValidityMilliseconds = 10_000;
/** Weight of the newest outcome in a target's failure rate. */
const failureWeight = 0.25;
/** Share of its limit that a target gets at the start of a ramp. */
const initialShare = 0.1;

/** What this node has observed of one target. */
export class TargetState {
  public status: TargetStatus = 'open';
  public report: LoadReport | undefined;
  public reportedAt = -Infinity;
  /** Requests that this node sent after the last report. */
  public sentSinceReport = 0;
  /** Attempts of this node without a result. */
  public outstanding = 0;
  public latency: number | undefined;
  public latencySamples = 0;
  public failureRate = 0;
  public lastContactAt: number;
  /** Whether the target was ejected because of failures, not because of its latency. */
  public isFailing = false;
  /** Monotonic time of the next trial request while the target is ejected. */
  public nextTrialAt = 0;
  /** Monotonic time at which the current trial request was sent. */
  public trialSentAt: number | undefined;
  public ejectionMilliseconds = 0;
  public restoredAt = -Infinity;
  /** Requests of other entries, running and queued, according to the last report. */
  private otherEntriesLoad = 0;
  private latencyAt = -Infinity;
  private isRestored = false;
  private rampStart = -Infinity;
  private rampLength = 1;

  public constructor(
    public target: Target,
    now: number,
  ) {
    this.lastContactAt = now;
  }

  /** Concurrency limit that the target last reported; its slots before the first report. */
  public get limit(): number {
    return Math.max(1, this.report?.limit ?? this.target.slots);
  }

  /** Load by other entries according to the last report, relative to the target's limit. */
  public get otherEntriesRatio(): number {
    return this.otherEntriesLoad / this.limit;
  }

  /** Whether one more request would probably start without queueing. */
  public get hasCapacity(): boolean {
    return this.outstanding + this.otherEntriesLoad < this.limit;
  }

  /** Applies a load report from the result of an attempt or from a probe. */
  public applyLoadReport(report: LoadReport, now: number): void {
    this.report = report;
    this.reportedAt = now;
    this.lastContactAt = now;
    this.sentSinceReport = 0;
    // The limit reported by the gate ramps up by itself; two ramps in a row would keep a new server idle.
    if (!this.isRestored) this.rampStart = -Infinity;
    // The attempt that ended is still counted in `outstanding`, but no longer in the report.
    const own = Math.max(0, this.outstanding - 1);
    this.otherEntriesLoad = Math.max(0, report.inFlight + report.queued - own);
  }

  /**
   * `isRestored` keeps the ramp when load reports arrive, because the gate doesn't know of an
   * ejection.
   */
  public startRamp(now: number, milliseconds: number, isRestored: boolean): void {
    this.isRestored = isRestored;
    this.rampStart = now;
    this.rampLength = Math.max(1, milliseconds);
  }

  /** Share of its limit that the target may get now; below 1 during a ramp. */
  public rampShare(now: number): number {
    const elapsed = (now - this.rampStart) / this.rampLength;
    return elapsed >= 1 ? 1 : initialShare + (1 - initialShare) * Math.max(0, elapsed);
  }

  /**
   * Moving average of the latency, undefined if it is outdated: an idle target has to be chosen again
   * before a change can be observed.
   */
  public recentLatency(now: number): number | undefined {
    return now - this.latencyAt <= latencyValidityMilliseconds ? this.latency : undefined;
  }

  public recordLatency(milliseconds: number, now: number): void {
    if (this.recentLatency(now) === undefined) {
      this.latency = undefined;
      this.latencySamples = 0;
    }
    this.latencyAt = now;
    this.latencySamples += 1;
    this.latency =
      this.latency === undefined
        ? milliseconds
        : this.latency + latencyWeight * (milliseconds - this.latency);
  }

  public recordOutcome(isFailure: boolean): void {
    this.failureRate += failureWeight * ((isFailure ? 1 : 0) - this.failureRate);
  }

  /** Drops the results from before an ejection, so that only new ones count after it. */
  public resetHistory(): void {
    this.latency = undefined;
    this.latencySamples = 0;
    this.failureRate = 0;
  }
}
