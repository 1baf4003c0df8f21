/** Probes that may be sent at once after a quiet time. */
const burst = 10;
/** A probe that is not answered by then does not hold requests back any longer. */
const patienceMilliseconds = 40;
const millisecondsPerSecond = 1_000;

/** When the server may be asked for its speed: one question at a time, within a budget. */
export class ProbeSchedule {
  private tokens = burst;
  private refilledAt = 0;
  private askedAt: number | undefined;

  public constructor(private probesPerSecond: number) {}

  public get allowedPerSecond(): number {
    return this.probesPerSecond;
  }

  public configure(probesPerSecond: number): void {
    this.probesPerSecond = probesPerSecond;
  }

  /** Whether requests wait for the answer of a probe. */
  public isAwaited(now: number): boolean {
    return this.askedAt !== undefined && now - this.askedAt < patienceMilliseconds;
  }

  /** Takes a probe from the budget; false if there is none or one is in progress. */
  public take(now: number): boolean {
    const elapsed = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const earned = (elapsed / millisecondsPerSecond) * this.probesPerSecond;
    this.tokens = Math.min(burst, this.tokens + earned);
    if (this.askedAt !== undefined || this.tokens < 1) return false;
    this.tokens -= 1;
    this.askedAt = now;
    return true;
  }

  public ended(): void {
    this.askedAt = undefined;
  }
}
