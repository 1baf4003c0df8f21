/** Estimates the service time of the upstream. */
export class ServiceTimeEstimate {
  private answeredMean: number | undefined;
  private reportedMean: number | undefined;
  private currentShortest = Number.POSITIVE_INFINITY;
  private previousShortest = Number.POSITIVE_INFINITY;
  private sampleCount = 0;

  /**
   * @param smoothing - Weight of the newest sample in the means, 0 to 1.
   * @param shortestWindowSamples - Length of a window of {@link shortestMilliseconds}, in answers.
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
   * Shortest service time among the answers of two windows, the current and the previous one, each
   * `shortestWindowSamples` answers long; 0 while there is none. A request with less time left is not
   * expected to finish.
   */
  public get shortestMilliseconds(): number {
    const shortest = Math.min(this.currentShortest, this.previousShortest);
    return shortest === Number.POSITIVE_INFINITY ? 0 : shortest;
  }

  /**
   * Exponentially weighted mean for load reports. It includes failures, each with the latency passed to
   * {@link onFailed}.
   */
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

  /**
   * Records a failure in the mean for load reports, with the time that the caller would have waited at
   * worst instead of the elapsed time, so that fast failures don't appear as short latencies.
   */
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
