import type { RandomSource } from './random-source.js';

/**
 * Exponential back-off: delays that double from an initial to a maximum delay, each with jitter of
 * up to half its length.
 */
export class BackOff {
  private consecutiveDelays = 0;

  public constructor(
    private readonly random: RandomSource,
    private readonly initialMilliseconds: number,
    private readonly maximumMilliseconds: number,
  ) {}

  /** Returns the delay before the next try. */
  public nextDelay(): number {
    const delay = Math.min(
      this.maximumMilliseconds,
      this.initialMilliseconds * 2 ** this.consecutiveDelays,
    );
    this.consecutiveDelays = Math.min(this.consecutiveDelays + 1, 30);
    return delay * (0.5 + 0.5 * this.random.next());
  }

  public reset(): void {
    this.consecutiveDelays = 0;
  }
}
