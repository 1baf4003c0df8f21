import { LatencyRegression } from './latency-regression.js';
import type { ConcurrencyLimit, ConcurrencySample } from './concurrency-limit.js';

/** Settings of {@link GradientConcurrencyLimit}. */
export interface ConcurrencyLimitSettings {
  /** Answers per window; their mean latency is one measurement. */
  readonly windowSamples: number;
  /** Answers under a lowered limit after which the decrease is evaluated by their mean latency. */
  readonly trialSamples: number;
  /** Ratio of the recent to the minimum latency above which the limit is lowered. */
  readonly tolerance: number;
  /** Factor by which the minimum latency rises per window, so that it follows lasting changes. */
  readonly baselineDrift: number;
  /** Factor by which the limit rises per window; it rises by at least one slot. */
  readonly growthFactor: number;
  /** Lower bound of the factor by which a single decrease multiplies the limit. */
  readonly minimumDecreaseFactor: number;
  /** Share of the latency that must be caused by concurrent requests for a lower limit to be tried. */
  readonly minimumConcurrencyShare: number;
  /** A decrease is reverted unless the latency falls to this ratio of what it was or below. */
  readonly improvementRatio: number;
}

/**
 * Defaults of {@link ConcurrencyLimitSettings}.
 * The mean of 100 exponentially distributed latencies has a standard deviation of 10 %, so a ratio of
 * 1.5 is far outside the noise. The minimum of single latencies as the baseline would throttle every
 * upstream whose service time varies.
 * A decrease is a trial that withholds slots while it lasts, so it withholds at most half of them and is
 * evaluated after 50 answers. A decrease from 10 slots to 2 that waited for 100 answers of 200 ms
 * withheld the other slots for 10 s.
 * No trial is made if the regression attributes less than 0.3 of the latency to concurrent requests. For
 * an overloaded upstream this share is near 1; over 100 answers its standard error is about 0.2.
 */
export const defaultConcurrencyLimitSettings: ConcurrencyLimitSettings = {
  baselineDrift: 1.02,
  growthFactor: 1.25,
  improvementRatio: 0.8,
  minimumConcurrencyShare: 0.3,
  minimumDecreaseFactor: 0.5,
  tolerance: 1.5,
  trialSamples: 50,
  windowSamples: 100,
};

interface Decrease {
  readonly fromLimit: number;
  readonly fromLatency: number;
}

/**
 * Gradient concurrency limit: lowers the limit by the ratio of the minimum to the recent mean latency,
 * or else raises it by a quarter per window. Raising it by one slot per window took 19,000 answers to
 * recover from a pause of an upstream with 200 slots. An upstream that is slow at any concurrency
 * doesn't become faster under a lower limit; then the decrease is reverted and the latency becomes the
 * new minimum. If the regression already shows this, no decrease is made.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
  private slots = 1;
  private learnedLimit = 1;
  private baselineLatency: number | undefined;
  private decrease: Decrease | undefined;
  /** Monotonic time of the last change; requests started earlier ran under the previous limit. */
  private limitChangedAt = Number.NEGATIVE_INFINITY;
  private sampleCount = 0;
  private latencySum = 0;
  private peakInFlight = 0;
  private readonly regression = new LatencyRegression();

  public constructor(private readonly settings: ConcurrencyLimitSettings) {}

  public get limit(): number {
    return Math.max(1, Math.min(this.slots, Math.floor(this.learnedLimit)));
  }

  public setSlots(slots: number, isNewUpstream: boolean): void {
    const wasUnlimited = this.learnedLimit >= this.slots;
    this.slots = slots;
    if (isNewUpstream) {
      this.baselineLatency = undefined;
      this.decrease = undefined;
      this.startWindow();
    }
    this.learnedLimit = isNewUpstream || wasUnlimited ? slots : Math.min(this.learnedLimit, slots);
  }

  public onAnswered(sample: ConcurrencySample, now: number): void {
    if (sample.startedAt < this.limitChangedAt) return;
    this.sampleCount += 1;
    this.latencySum += sample.latencyMilliseconds;
    this.regression.record(sample.inFlightAtStart, sample.latencyMilliseconds);
    this.peakInFlight = Math.max(this.peakInFlight, sample.inFlight);
    if (this.sampleCount < this.requiredSamples) return;
    this.adjust(this.latencySum / this.sampleCount, now);
    this.startWindow();
  }

  private get requiredSamples(): number {
    const { trialSamples, windowSamples } = this.settings;
    return this.decrease === undefined ? windowSamples : trialSamples;
  }

  private startWindow(): void {
    this.sampleCount = 0;
    this.latencySum = 0;
    this.peakInFlight = 0;
    this.regression.reset();
  }

  private adjust(recentLatency: number, now: number): void {
    const decrease = this.decrease;
    this.decrease = undefined;
    if (
      decrease !== undefined &&
      recentLatency > decrease.fromLatency * this.settings.improvementRatio
    ) {
      this.baselineLatency = recentLatency;
      this.setLimit(decrease.fromLimit, now);
      return;
    }
    this.baselineLatency =
      this.baselineLatency === undefined
        ? recentLatency
        : Math.min(recentLatency, this.baselineLatency * this.settings.baselineDrift);
    const ratio = this.baselineLatency > 0 ? recentLatency / this.baselineLatency : 1;
    if (ratio <= this.settings.tolerance) {
      const { growthFactor } = this.settings;
      this.learnedLimit = Math.min(
        this.slots,
        Math.max(this.learnedLimit + 1, this.learnedLimit * growthFactor),
      );
      return;
    }
    // If far fewer requests than the limit were in flight, concurrency can't be the cause of the latency.
    if (this.peakInFlight * 2 < this.limit || this.limit === 1) return;
    if (this.isSlowAtAnyConcurrency()) {
      this.baselineLatency = recentLatency;
      return;
    }
    this.decrease = { fromLatency: recentLatency, fromLimit: this.learnedLimit };
    const targetLimit = Math.min(this.learnedLimit, this.peakInFlight) / ratio;
    this.setLimit(
      Math.max(1, this.learnedLimit * this.settings.minimumDecreaseFactor, targetLimit),
      now,
    );
  }

  private isSlowAtAnyConcurrency(): boolean {
    const share = this.regression.concurrencyShare();
    return share !== undefined && share < this.settings.minimumConcurrencyShare;
  }

  private setLimit(limit: number, now: number): void {
    this.learnedLimit = Math.min(this.slots, limit);
    this.limitChangedAt = now;
  }
}
