/** Estimates how long the upstream takes for a request. */
export class ServiceTimeEstimate {
  private answeredMean: number | undefined;
  private reportedMean: number | undefined;
  private shortestNow = Number.POSITIVE_INFINITY;
  private shortestBefore = Number.POSITIVE_INFINITY;
  private samples = 0;

  /** `smoothing` is the weight of the newest sample; `shortestSamples` the memory of the minimum. */
  public constructor(
    private readonly smoothing: number,
    private readonly shortestSamples: number,
  ) {}

  /** Smoothed time of answered requests; 0 while none is known. */
  public get meanMilliseconds(): number {
    return this.answeredMean ?? 0;
  }

  /** Shortest time of the last answers: a request with less time left cannot finish. */
  public get shortestMilliseconds(): number {
    const shortest = Math.min(this.shortestNow, this.shortestBefore);
    return shortest === Number.POSITIVE_INFINITY ? 0 : shortest;
  }

  /** Smoothed time for load reports, in which failures count as the worst latency. */
  public get reportedMilliseconds(): number {
    return this.reportedMean ?? 0;
  }

  public answered(milliseconds: number): void {
    this.answeredMean = this.smoothed(this.answeredMean, milliseconds);
    this.reportedMean = this.smoothed(this.reportedMean, milliseconds);
    this.shortestNow = Math.min(this.shortestNow, milliseconds);
    this.samples += 1;
    if (this.samples < this.shortestSamples) return;
    this.samples = 0;
    this.shortestBefore = this.shortestNow;
    this.shortestNow = Number.POSITIVE_INFINITY;
  }

  /** A fast failure must not look like a short latency, so the caller passes the worst one. */
  public failed(worstMilliseconds: number): void {
    this.reportedMean = this.smoothed(this.reportedMean, worstMilliseconds);
  }

  /** The request would have taken at least this long; only news if that is longer than the mean. */
  public cancelled(elapsedMilliseconds: number): void {
    if (elapsedMilliseconds > this.meanMilliseconds) {
      this.answeredMean = this.smoothed(this.answeredMean, elapsedMilliseconds);
    }
    if (elapsedMilliseconds > this.reportedMilliseconds) {
      this.reportedMean = this.smoothed(this.reportedMean, elapsedMilliseconds);
    }
  }

  /** Forgets what load reports say; the next sample starts anew. */
  public forgetReported(): void {
    this.reportedMean = undefined;
  }

  /** Forgets everything; another upstream has announced itself. */
  public reset(): void {
    this.answeredMean = undefined;
    this.reportedMean = undefined;
    this.shortestNow = Number.POSITIVE_INFINITY;
    this.shortestBefore = Number.POSITIVE_INFINITY;
    this.samples = 0;
  }

  private smoothed(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + this.smoothing * (sample - mean);
  }
}
