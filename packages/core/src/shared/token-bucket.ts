const millisecondsPerSecond = 1_000;

export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  /** Capacity: tokens that may be taken in quick succession after an idle time. The bucket is full at first. */
  readonly burst: number;
}

/** Limits the rate of an action: each takes a token, and tokens are added at a constant rate. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number | undefined;

  public constructor(private options: TokenBucketOptions) {
    this.tokens = options.burst;
  }

  public get tokensPerSecond(): number {
    return this.options.tokensPerSecond;
  }

  /** Changes the rate of the tokens that are added from the next call on. */
  public setRate(tokensPerSecond: number): void {
    this.options = { ...this.options, tokensPerSecond };
  }

  /** Takes a token; false if none is left. */
  public tryTake(now: number): boolean {
    const { burst, tokensPerSecond } = this.options;
    const elapsed = Math.max(0, now - (this.refilledAt ?? now));
    this.refilledAt = now;
    this.tokens = Math.min(
      burst,
      this.tokens + (elapsed / millisecondsPerSecond) * tokensPerSecond,
    );
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
