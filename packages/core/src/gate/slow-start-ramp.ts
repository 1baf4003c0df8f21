/**
 * Slow start: raises the limit of an upstream that has just started, with time and with each answer.
 */
export class SlowStartRamp {
  private startedAt = Number.NEGATIVE_INFINITY;
  private answerCount = 0;
  private isComplete = true;

  /**
   * @param startShare - Share of the slots that is open from the start, 0 to 1.
   * @param answersPerSlot - Answers per slot that complete the ramp without any time passing.
   * @param rampMilliseconds - Time that completes the ramp without any answer.
   */
  public constructor(
    private readonly startShare: number,
    private readonly answersPerSlot: number,
    private rampMilliseconds: number,
  ) {}

  /** Changes the duration of the ramp, including that of a ramp in progress. */
  public configure(rampMilliseconds: number): void {
    this.rampMilliseconds = rampMilliseconds;
  }

  /** Starts the ramp; `now` is monotonic time. */
  public start(now: number): void {
    this.startedAt = now;
    this.answerCount = 0;
    this.isComplete = false;
  }

  public onAnswered(): void {
    if (!this.isComplete) this.answerCount += 1;
  }

  /** Number of open slots at the monotonic time `now`, at least 1. */
  public limit(slots: number, now: number): number {
    if (this.isComplete) return slots;
    const progress = this.progress(slots, now);
    if (progress >= 1) {
      this.isComplete = true;
      return slots;
    }
    const share = this.startShare + (1 - this.startShare) * progress;
    return Math.max(1, Math.floor(slots * share));
  }

  /** Time until all slots are open if no further answers arrive. */
  public remainingMilliseconds(slots: number, now: number): number {
    return this.isComplete ? 0 : Math.max(0, 1 - this.progress(slots, now)) * this.rampMilliseconds;
  }

  private progress(slots: number, now: number): number {
    if (this.rampMilliseconds <= 0) return 1;
    const byTime = (now - this.startedAt) / this.rampMilliseconds;
    return byTime + this.answerCount / (this.answersPerSlot * slots);
  }
}
