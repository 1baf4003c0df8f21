/**
 * Exponential moving average: each new sample has the same weight, so that the average covers about the last
 * `1 / weight` samples.
 */
export class ExponentialMovingAverage {
  private average: number;
  private count = 0;

  public constructor(
    initial: number,
    private readonly weight: number,
  ) {
    this.average = initial;
  }

  public get value(): number {
    return this.average;
  }

  public get sampleCount(): number {
    return this.count;
  }

  public add(sample: number): void {
    this.count += 1;
    // The first samples have a higher weight, so that the initial value soon loses its influence.
    const weight = Math.max(this.weight, 1 / (this.count + 1));
    this.average += weight * (sample - this.average);
  }
}
