/**
 * Load of the upstream that doesn't come through the gate, from polls of its load endpoint.
 * A report may lag, so it is compared with the most that the gate has run over two poll intervals.
 */
export class PolledLoad {
  private foreign = 0;
  private polledAt = Number.NEGATIVE_INFINITY;
  private peakNow = 0;
  private peakBefore = 0;

  /** A report is believed for `freshMilliseconds` and takes away `maximumShare` of the slots at most. */
  public constructor(
    private readonly freshMilliseconds: number,
    private readonly maximumShare: number,
  ) {}

  /** The gate runs this many requests now. */
  public running(count: number): void {
    if (count > this.peakNow) this.peakNow = count;
  }

  public polled(inFlight: number | undefined, running: number, now: number): void {
    const peak = Math.max(this.peakNow, this.peakBefore, running);
    this.peakBefore = this.peakNow;
    this.peakNow = running;
    this.foreign = inFlight === undefined ? 0 : Math.max(0, inFlight - peak);
    this.polledAt = now;
  }

  /** Slots that others seem to take. */
  public slotsTaken(slots: number, now: number): number {
    if (this.foreign === 0 || now - this.polledAt > this.freshMilliseconds) return 0;
    return Math.min(this.foreign, Math.floor(slots * this.maximumShare));
  }
}
