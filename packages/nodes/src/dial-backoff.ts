const firstDelayMilliseconds = 50;
const largestDelayMilliseconds = 5_000;

/** Jittered exponential back-off between attempts to connect to one node. */
export class DialBackoff {
  private failures = 0;
  private notBefore = 0;

  public constructor(private readonly random: () => number) {}

  public isDue(now: number): boolean {
    return now >= this.notBefore;
  }

  public failed(now: number): void {
    const ceiling = Math.min(largestDelayMilliseconds, firstDelayMilliseconds * 2 ** this.failures);
    this.failures += 1;
    // Between half and all of the delay, so that nodes that lost the same peer don't return together.
    this.notBefore = now + ceiling * (0.5 + this.random() / 2);
  }

  public succeeded(): void {
    this.failures = 0;
    this.notBefore = 0;
  }
}
