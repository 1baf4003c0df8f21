/** Capacity of the token bucket: probes that may be sent in quick succession after an idle time. */
const maximumTokens = 10;
/** Time after which an unanswered probe no longer delays requests. */
const probeTimeoutMilliseconds = 40;
const millisecondsPerSecond = 1_000;

/** Limits the probes of the server's speed: one at a time, at a bounded rate. */
export class ProbeRateLimiter {
  private tokens = maximumTokens;
  private refilledAt = 0;
  private probeSentAt: number | undefined;

  public constructor(private probesPerSecond: number) {}

  public get allowedPerSecond(): number {
    return this.probesPerSecond;
  }

  public configure(probesPerSecond: number): void {
    this.probesPerSecond = probesPerSecond;
  }

  /** Whether a probe is in progress and has not timed out, so that requests should wait for its result. */
  public isProbePending(now: number): boolean {
    return this.probeSentAt !== undefined && now - this.probeSentAt < probeTimeoutMilliseconds;
  }

  /** Takes a token for a probe; false if none is left or a probe is in progress. */
  public tryTake(now: number): boolean {
    const elapsed = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const refill = (elapsed / millisecondsPerSecond) * this.probesPerSecond;
    this.tokens = Math.min(maximumTokens, this.tokens + refill);
    if (this.probeSentAt !== undefined || this.tokens < 1) return false;
    this.tokens -= 1;
    this.probeSentAt = now;
    return true;
  }

  public onFinished(): void {
    this.probeSentAt = undefined;
  }
}
