import { ConcurrencyEvidence } from './concurrency-evidence.js';
import type { ConcurrencyLimit, ConcurrencySample } from './concurrency-limit.js';

/** Settings of {@link GradientConcurrencyLimit}. */
export interface ConcurrencyLimitSettings {
  /** Answers whose mean latency forms one measurement. */
  readonly windowSamples: number;
  /** Answers under a lowered limit that tell whether it brought the latency down. */
  readonly verdictSamples: number;
  /** Ratio of recent to minimum latency above which the limit is lowered. */
  readonly tolerance: number;
  /** Factor by which the minimum latency rises per window, so that it follows lasting changes. */
  readonly baselineDrift: number;
  /** Factor by which the limit rises per window, at least by one slot. */
  readonly growthFactor: number;
  /** Share of the limit that remains, at least, when it is lowered once. */
  readonly smallestStepShare: number;
  /** Part of the latency that must come from the requests in flight for a lower limit to be tried. */
  readonly smallestConcurrencyShare: number;
  /** A lower limit must bring the latency below this share of what it was, or it is taken back. */
  readonly improvementShare: number;
}

/**
 * Defaults of the learned limit.
 * Means of 100 exponentially distributed latencies vary by 10 %, so a ratio of 1.5 is far outside
 * of their noise; single minima would throttle every upstream whose service time varies.
 * A lowered limit is a trial that costs slots while it lasts, so it takes at most half of them and is
 * judged after 50 answers. One that went from 10 slots to 2 and waited for 100 answers of 200 ms held
 * them back for 10 s.
 * No trial is made when the answers of the window show that the requests in flight make up less than
 * 0.3 of the latency. For an overloaded upstream that part is near 1, and over 100 answers its
 * standard error is about 0.2.
 */
export const defaultConcurrencyLimitSettings: ConcurrencyLimitSettings = {
  baselineDrift: 1.02,
  growthFactor: 1.25,
  improvementShare: 0.8,
  smallestConcurrencyShare: 0.3,
  smallestStepShare: 0.5,
  tolerance: 1.5,
  verdictSamples: 50,
  windowSamples: 100,
};

interface Decrease {
  readonly fromLimit: number;
  readonly fromLatency: number;
}

/**
 * Lowers the limit by the ratio of the minimum to the recent mean latency and raises it by a quarter
 * per window otherwise: one slot per window took 19,000 answers to undo a pause at 200 slots. An
 * upstream that is slow at any concurrency doesn't get faster from a lower limit; then the decrease is
 * taken back and its latency becomes the new minimum. The same happens without a decrease when the
 * answers themselves show it.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
  private slots = 1;
  private learned = 1;
  private baseline: number | undefined;
  private decrease: Decrease | undefined;
  /** Requests started before this time ran under the previous limit. */
  private changedAt = Number.NEGATIVE_INFINITY;
  private samples = 0;
  private latencySum = 0;
  private peakInFlight = 0;
  private readonly evidence = new ConcurrencyEvidence();

  public constructor(private readonly settings: ConcurrencyLimitSettings) {}

  public get limit(): number {
    return Math.max(1, Math.min(this.slots, Math.floor(this.learned)));
  }

  public announce(slots: number, isNewUpstream: boolean): void {
    const wasUnlimited = this.learned >= this.slots;
    this.slots = slots;
    if (isNewUpstream) {
      this.baseline = undefined;
      this.decrease = undefined;
      this.startWindow();
    }
    this.learned = isNewUpstream || wasUnlimited ? slots : Math.min(this.learned, slots);
  }

  public answered(sample: ConcurrencySample, now: number): void {
    if (sample.startedAt < this.changedAt) return;
    this.samples += 1;
    this.latencySum += sample.latencyMilliseconds;
    this.evidence.record(sample.inFlightAtStart, sample.latencyMilliseconds);
    this.peakInFlight = Math.max(this.peakInFlight, sample.inFlight);
    if (this.samples < this.samplesWanted) return;
    this.adjust(this.latencySum / this.samples, now);
    this.startWindow();
  }

  private get samplesWanted(): number {
    const { verdictSamples, windowSamples } = this.settings;
    return this.decrease === undefined ? windowSamples : verdictSamples;
  }

  private startWindow(): void {
    this.samples = 0;
    this.latencySum = 0;
    this.peakInFlight = 0;
    this.evidence.reset();
  }

  private adjust(recent: number, now: number): void {
    const decrease = this.decrease;
    this.decrease = undefined;
    if (decrease !== undefined && recent > decrease.fromLatency * this.settings.improvementShare) {
      this.baseline = recent;
      this.change(decrease.fromLimit, now);
      return;
    }
    this.baseline =
      this.baseline === undefined
        ? recent
        : Math.min(recent, this.baseline * this.settings.baselineDrift);
    const ratio = this.baseline > 0 ? recent / this.baseline : 1;
    if (ratio <= this.settings.tolerance) {
      const { growthFactor } = this.settings;
      this.learned = Math.min(this.slots, Math.max(this.learned + 1, this.learned * growthFactor));
      return;
    }
    // A few requests at once can't be the cause of the latency under a much higher limit.
    if (this.peakInFlight * 2 < this.limit || this.limit === 1) return;
    if (this.isSlowAtAnyConcurrency()) {
      this.baseline = recent;
      return;
    }
    this.decrease = { fromLatency: recent, fromLimit: this.learned };
    const wanted = Math.min(this.learned, this.peakInFlight) / ratio;
    this.change(Math.max(1, this.learned * this.settings.smallestStepShare, wanted), now);
  }

  private isSlowAtAnyConcurrency(): boolean {
    const share = this.evidence.concurrencyShare();
    return share !== undefined && share < this.settings.smallestConcurrencyShare;
  }

  private change(limit: number, now: number): void {
    this.learned = Math.min(this.slots, limit);
    this.changedAt = now;
  }
}
