/** Number of latest starts that are kept. */
const maximumStarts = 8;
/** Minimum number of recent starts from which an interval is derived. */
const minimumStarts = 4;
/** Age after which a start is no longer considered. */
const windowMilliseconds = 1_000;

/** Estimates the interval at which queued requests are started, whatever requests precede them. */
export class StartIntervalEstimator {
  private readonly starts: number[] = [];

  /** Records the start of a request that had waited. */
  public recordStart(now: number): void {
    this.starts.push(now);
    if (this.starts.length > maximumStarts) this.starts.shift();
  }

  /**
   * Mean interval between recent starts of queued requests, over the time from the first of them until now; undefined
   * if there are too few recent starts.
   */
  public intervalMilliseconds(now: number): number | undefined {
    const recent = this.starts.filter((start) => now - start < windowMilliseconds);
    const [first] = recent;
    if (first === undefined || recent.length < minimumStarts) return undefined;
    return (now - first) / recent.length;
  }
}
