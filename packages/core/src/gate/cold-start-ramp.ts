/** Raises the limit of an upstream that has just started, over time and faster with answers. */
export class ColdStartRamp {
  private startedAt = Number.NEGATIVE_INFINITY;
  private answers = 0;
  private complete = true;

  /** `startShare` of the slots is open at once; `answersPerSlot` answers complete the ramp alone. */
  public constructor(
    private readonly startShare: number,
    private readonly answersPerSlot: number,
    private rampMilliseconds: number,
  ) {}

  /** Changes the length of the ramp, also of one in progress. */
  public configure(rampMilliseconds: number): void {
    this.rampMilliseconds = rampMilliseconds;
  }

  /** Starts the ramp at the monotonic time `now`. */
  public start(now: number): void {
    this.startedAt = now;
    this.answers = 0;
    this.complete = false;
  }

  /** Counts an answer of the upstream. */
  public answered(): void {
    if (!this.complete) this.answers += 1;
  }

  /** The slots that are open at the monotonic time `now`, at least 1. */
  public limit(slots: number, now: number): number {
    if (this.complete) return slots;
    const progress = this.progress(slots, now);
    if (progress >= 1) {
      this.complete = true;
      return slots;
    }
    const share = this.startShare + (1 - this.startShare) * progress;
    return Math.max(1, Math.floor(slots * share));
  }

  /** Time until all slots are open, if no more answers come. */
  public remainingMilliseconds(slots: number, now: number): number {
    return this.complete ? 0 : Math.max(0, 1 - this.progress(slots, now)) * this.rampMilliseconds;
  }

  private progress(slots: number, now: number): number {
    if (this.rampMilliseconds <= 0) return 1;
    const byTime = (now - this.startedAt) / this.rampMilliseconds;
    return byTime + this.answers / (this.answersPerSlot * slots);
  }
}
