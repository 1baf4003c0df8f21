/** Estimates the service time of the upstream. */
export class ServiceTimeEstimate {
  private answeredMean: number | undefined;
  private reportedMean: number | undefined;
  private currentShortest = Number.POSITIVE_INFINITY;
  private previousShortest = Number.POSITIVE_INFINITY;
  private sampleCount = 0;

  /**
   * @param smoothing - Weight of the newest sample in the means, 0 to 1.
   * @param shortestWindowSamples - Window of the minimum, in answers.
   */
  public constructor(
    private readonly smoothing: number,
    private readonly shortestWindowSamples: number,
  ) {}

  /** Exponentially weighted mean of answered requests; 0 while there is none. */
  public get meanMilliseconds(): number {
    return this.answeredMean ?? 0;
  }

  /**
   * Minimum over the last one to two windows; a request with less time left is not expected to
   * finish.
   */
  public get shortestMilliseconds(): number {
    const shortest = Math.min(this.currentShortest, this.previousShortest);
    return shortest === Number.POSITIVE_INFINITY ? 0 : shortest;
  }

  /** Exponentially weighted mean for load reports, in which failures count as the worst latency. */
  public get reportedMilliseconds(): number {
    return this.reportedMean ?? 0;
  }

  public onAnswered(milliseconds: number): void {
    this.answeredMean = this.smoothed(this.answeredMean, milliseconds);
    this.reportedMean = this.smoothed(this.reportedMean, milliseconds);
    this.currentShortest = Math.min(this.currentShortest, milliseconds);
    this.sampleCount += 1;
    if (this.sampleCount < this.shortestWindowSamples) return;
    this.sampleCount = 0;
    this.previousShortest = this.currentShortest;
    this.currentShortest = Number.POSITIVE_INFINITY;
  }

  /** Records a failure as the worst latency, so that fast failures don't appear as short latencies. */
  public onFailed(worstMilliseconds: number): void {
    this.reportedMean = this.smoothed(this.reportedMean, worstMilliseconds);
  }

  /** Records a cancelled request: a lower bound of its time, used only where it exceeds the mean. */
  public onCancelled(elapsedMilliseconds: number): void {
    if (elapsedMilliseconds > this.meanMilliseconds) {
      this.answeredMean = this.smoothed(this.answeredMean, elapsedMilliseconds);
    }
    if (elapsedMilliseconds > this.reportedMilliseconds) {
      this.reportedMean = this.smoothed(this.reportedMean, elapsedMilliseconds);
    }
  }

  /** Discards the mean for load reports. */
  public resetReported(): void {
    this.reportedMean = undefined;
  }

  /** Discards all samples, for a new upstream. */
  public reset(): void {
    this.answeredMean = undefined;
    this.reportedMean = undefined;
    this.currentShortest = Number.POSITIVE_INFINITY;
    this.previousShortest = Number.POSITIVE_INFINITY;
    this.sampleCount = 0;
  }

  private smoothed(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + this.smoothing * (sample - mean);
  }
}
