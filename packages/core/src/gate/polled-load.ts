/**
 * Load of the upstream from requests that bypass the gate, from polls of its load endpoint. A polled
 * value may lag, so it is compared with the peak of running requests over the last two poll intervals.
 */
export class PolledLoad {
  private otherRequests = 0;
  private polledAt = Number.NEGATIVE_INFINITY;
  private currentPeak = 0;
  private previousPeak = 0;

  /**
   * @param validMilliseconds - Time for which a polled value is valid.
   * @param maximumShare - Maximum share of the slots that a polled value can withhold, 0 to 1.
   */
  public constructor(
    private readonly validMilliseconds: number,
    private readonly maximumShare: number,
  ) {}

  /** Records the number of requests that the gate runs now. */
  public onRunningChanged(count: number): void {
    if (count > this.currentPeak) this.currentPeak = count;
  }

  public onPolled(inFlight: number | undefined, running: number, now: number): void {
    const peak = Math.max(this.currentPeak, this.previousPeak, running);
    this.previousPeak = this.currentPeak;
    this.currentPeak = running;
    this.otherRequests = inFlight === undefined ? 0 : Math.max(0, inFlight - peak);
    this.polledAt = now;
  }

  /** Estimated number of slots taken by requests that bypass the gate. */
  public slotsTakenByOthers(slots: number, now: number): number {
    if (this.otherRequests === 0 || now - this.polledAt > this.validMilliseconds) return 0;
    return Math.min(this.otherRequests, Math.floor(slots * this.maximumShare));
  }
}
