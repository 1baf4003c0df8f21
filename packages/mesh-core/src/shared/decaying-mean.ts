/** Mean of samples in which each sample has the same weight, as if about `1 / weight` were kept. */
export class DecayingMean {
  private mean: number;
  private count = 0;

  public constructor(
    initial: number,
    private readonly weight: number,
  ) {
    this.mean = initial;
  }

  public get value(): number {
    return this.mean;
  }

  /** How many samples were added. */
  public get samples(): number {
    return this.count;
  }

  public add(sample: number): void {
    this.count += 1;
    // The first samples count more, so that the initial value does not linger.
    const weight = Math.max(this.weight, 1 / (this.count + 1));
    this.mean += weight * (sample - this.mean);
  }
}
