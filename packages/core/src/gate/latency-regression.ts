/**
 * Minimum standard deviation of the number of requests in flight, relative to its mean, for which the
 * regression is meaningful. A gate that always runs at its limit has no variation at all.
 */
const minimumRelativeDeviation = 0.1;

/**
 * Linear regression of the latency on the number of requests in flight, over a window of answers. It
 * shows how much of the latency is caused by concurrent requests.
 */
export class LatencyRegression {
  private sampleCount = 0;
  private inFlightSum = 0;
  private inFlightSquaresSum = 0;
  private latencySum = 0;
  private productsSum = 0;

  public record(inFlightAtStart: number, latencyMilliseconds: number): void {
    this.sampleCount += 1;
    this.inFlightSum += inFlightAtStart;
    this.inFlightSquaresSum += inFlightAtStart ** 2;
    this.latencySum += latencyMilliseconds;
    this.productsSum += inFlightAtStart * latencyMilliseconds;
  }

  public reset(): void {
    this.sampleCount = 0;
    this.inFlightSum = 0;
    this.inFlightSquaresSum = 0;
    this.latencySum = 0;
    this.productsSum = 0;
  }

  /**
   * Share of the mean latency that grows with the number of requests in flight: 1 if the latency is
   * proportional to it, 0 if the latency does not depend on it. Undefined if the number varied too
   * little.
   */
  public concurrencyShare(): number | undefined {
    if (this.sampleCount === 0 || this.latencySum <= 0) return undefined;
    const inFlight = this.inFlightSum / this.sampleCount;
    const latency = this.latencySum / this.sampleCount;
    const variance = this.inFlightSquaresSum / this.sampleCount - inFlight ** 2;
    if (variance <= 0 || variance < (minimumRelativeDeviation * inFlight) ** 2) return undefined;
    const slope = (this.productsSum / this.sampleCount - inFlight * latency) / variance;
    return (slope * inFlight) / latency;
  }
}
