import type { LoadReport } from '../messages/load-report.js';
import type { Target } from './router-contract.js';

/** Whether a target is in the ordinary choice. */
export const TargetStanding = {
  Draining: 'draining',
  Open: 'open',
  Shunned: 'shunned',
} as const;
export type TargetStanding = (typeof TargetStanding)[keyof typeof TargetStanding];

/** Weight of the newest latency in a target's moving average. */
const latencyWeight = 0.2;
/** A latency older than this says little of the target now; shunned targets get a trial as often. */
const latencyValidMilliseconds = 10_000;
/** Weight of the newest outcome in a target's failure rate. */
const failureWeight = 0.25;
/** Share of its limit that a target may get at the start of its ramp. */
const initialShare = 0.1;

/** What this node knows of one target. */
export class TargetState {
  public standing: TargetStanding = 'open';
  public report: LoadReport | undefined;
  public reportedAt = -Infinity;
  /** Requests sent by this node that the last report can't include. */
  public sentSinceReport = 0;
  /** Requests of this node that have not concluded. */
  public outstanding = 0;
  public latency: number | undefined;
  public latencySamples = 0;
  public failureRate = 0;
  public lastHeardAt: number;
  /** Whether the target was shunned because it gave no answers. */
  public isFailing = false;
  /** Monotonic time of the next trial request while the target is shunned. */
  public trialAt = 0;
  /** Start of the running trial request. */
  public trialSentAt: number | undefined;
  public shunMilliseconds = 0;
  public returnedAt = -Infinity;
  /** Requests of other entries at the time of the last report. */
  private others = 0;
  private latencyAt = -Infinity;
  private isReturning = false;
  private rampStart = -Infinity;
  private rampLength = 1;

  public constructor(
    public target: Target,
    now: number,
  ) {
    this.lastHeardAt = now;
  }

  /** Requests that the target runs at once, as far as known. */
  public get limit(): number {
    return Math.max(1, this.report?.limit ?? this.target.slots);
  }

  /** Load by other entries according to the last report, relative to the limit. */
  public get othersRatio(): number {
    return this.others / this.limit;
  }

  /** Whether one more request would start at once, as far as known. */
  public get hasRoom(): boolean {
    return this.outstanding + this.others < this.limit;
  }

  /** Takes a report that came with the end of one of this node's requests, or by a probe. */
  public takeReport(report: LoadReport, now: number): void {
    this.report = report;
    this.reportedAt = now;
    this.lastHeardAt = now;
    this.sentSinceReport = 0;
    // The gate's own ramp shows in its limit; two ramps in a row would keep a new server idle.
    if (!this.isReturning) this.rampStart = -Infinity;
    // The request that ended is still outstanding here and no longer part of the report.
    const own = Math.max(0, this.outstanding - 1);
    this.others = Math.max(0, report.inFlight + report.queued - own);
  }

  /** `isReturning` keeps the ramp when load reports arrive: the gate does not know of a shun. */
  public startRamp(now: number, milliseconds: number, isReturning: boolean): void {
    this.isReturning = isReturning;
    this.rampStart = now;
    this.rampLength = Math.max(1, milliseconds);
  }

  /** Share of its limit that the target may get now: below 1 while it ramps up. */
  public share(now: number): number {
    const elapsed = (now - this.rampStart) / this.rampLength;
    return elapsed >= 1 ? 1 : initialShare + (1 - initialShare) * Math.max(0, elapsed);
  }

  /** The moving average while it is recent; an idle target has to be tried again to show a change. */
  public recentLatency(now: number): number | undefined {
    return now - this.latencyAt <= latencyValidMilliseconds ? this.latency : undefined;
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

  /** Forgets the history before a shun, so that only new results count after the return. */
  public forgetHistory(): void {
    this.latency = undefined;
    this.latencySamples = 0;
    this.failureRate = 0;
  }
}
