import type { RandomSource } from './random-source.js';

/** Delays that double from a first to a longest one, each with jitter of half its length. */
export class BackOff {
  private failures = 0;

  public constructor(
    private readonly random: RandomSource,
    private readonly firstMilliseconds: number,
    private readonly longestMilliseconds: number,
  ) {}

  /** The delay before the next try. */
  public next(): number {
    const full = Math.min(this.longestMilliseconds, this.firstMilliseconds * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 30);
    return full * (0.5 + 0.5 * this.random.next());
  }

  public reset(): void {
    this.failures = 0;
  }
}
