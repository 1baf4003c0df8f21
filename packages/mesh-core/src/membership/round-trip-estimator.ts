/** Weights of a new sample in the mean and in the deviation, as in RFC 6298. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Number of mean deviations that a round trip may exceed the mean by, as in RFC 6298. */
const toleratedDeviations = 4;

/** Estimates within which time an answer arrives on a connection, from the round trips observed on it (RFC 6298). */
export class RoundTripEstimator {
  private mean: number | undefined;
  private deviation = 0;

  public addSample(milliseconds: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
      this.deviation = milliseconds / 2;
      return;
    }
    this.deviation += deviationWeight * (Math.abs(milliseconds - this.mean) - this.deviation);
    this.mean += meanWeight * (milliseconds - this.mean);
  }

  /** Time within which an answer is expected; undefined before the first sample. */
  public get expectedMilliseconds(): number | undefined {
    return this.mean === undefined ? undefined : this.mean + toleratedDeviations * this.deviation;
  }
}
