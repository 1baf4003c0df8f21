import { TokenBucket } from '@peridotspring/core';

/** Probes that may be sent in quick succession after an idle time. */
const burst = 10;
/** Time after which an unanswered probe no longer delays requests. */
const probeTimeoutMilliseconds = 40;

/** Limits the probes of the server's speed: one at a time, at a bounded rate. */
export class ProbeRateLimiter {
  private readonly tokens: TokenBucket;
  private probeSentAt: number | undefined;

  public constructor(probesPerSecond: number) {
    this.tokens = new TokenBucket({ burst, tokensPerSecond: probesPerSecond });
  }

  public get allowedPerSecond(): number {
    return this.tokens.tokensPerSecond;
  }

  public configure(probesPerSecond: number): void {
    this.tokens.setRate(probesPerSecond);
  }

  /** Whether a probe is in progress and has not timed out, so that requests should wait for its result. */
  public isProbePending(now: number): boolean {
    return this.probeSentAt !== undefined && now - this.probeSentAt < probeTimeoutMilliseconds;
  }

  /** Takes a token for a probe; false if none is left or a probe is in progress. */
  public tryTake(now: number): boolean {
    if (this.probeSentAt !== undefined || !this.tokens.tryTake(now)) return false;
    this.probeSentAt = now;
    return true;
  }

  public onFinished(): void {
    this.probeSentAt = undefined;
  }
}
