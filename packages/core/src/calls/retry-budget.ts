/**
 * Token bucket that successes fill and that retries and hedges draw from. It limits them to a fixed
 * share of the successes, however deep the chain of calls is.
 */
export class RetryBudget {
  private tokens: number;
  private earnedTokens: number;
  private spentTokens = 0;

  public constructor(
    private ratio: number,
    private maximum: number,
  ) {
    this.tokens = maximum;
    this.earnedTokens = maximum;
  }

  public configure(ratio: number, maximum: number): void {
    this.ratio = ratio;
    this.maximum = maximum;
    this.tokens = Math.min(this.tokens, maximum);
  }

  public onSuccess(): void {
    this.tokens = Math.min(this.maximum, this.tokens + this.ratio);
    this.earnedTokens += this.ratio;
  }

  /** Tokens of the initial bucket and from successes. */
  public get earned(): number {
    return this.earnedTokens;
  }

  public get spent(): number {
    return this.spentTokens;
  }

  public get hasToken(): boolean {
    return this.tokens >= 1;
  }

  public spend(): void {
    this.tokens -= 1;
    this.spentTokens += 1;
  }
}
