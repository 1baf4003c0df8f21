/**
 * Smallest deviation of the number of requests in flight, relative to its mean, from which their
 * effect on the latency is told. A gate that always runs at its limit has none.
 */
const smallestSpread = 0.1;

/** Tells from a window of answers how much of their latency comes from the requests beside them. */
export class ConcurrencyEvidence {
  private samples = 0;
  private inFlightSum = 0;
  private inFlightSquares = 0;
  private latencySum = 0;
  private products = 0;

  public record(inFlightAtStart: number, latencyMilliseconds: number): void {
    this.samples += 1;
    this.inFlightSum += inFlightAtStart;
    this.inFlightSquares += inFlightAtStart ** 2;
    this.latencySum += latencyMilliseconds;
    this.products += inFlightAtStart * latencyMilliseconds;
  }

  public reset(): void {
    this.samples = 0;
    this.inFlightSum = 0;
    this.inFlightSquares = 0;
    this.latencySum = 0;
    this.products = 0;
  }

  /**
   * Part of the mean latency that grows with the requests in flight, by linear regression: 1 when
   * the latency is proportional to them, 0 when it does not depend on them. Undefined when their
   * number varied too little.
   */
  public concurrencyShare(): number | undefined {
    if (this.samples === 0 || this.latencySum <= 0) return undefined;
    const inFlight = this.inFlightSum / this.samples;
    const latency = this.latencySum / this.samples;
    const variance = this.inFlightSquares / this.samples - inFlight ** 2;
    if (variance <= 0 || variance < (smallestSpread * inFlight) ** 2) return undefined;
    const slope = (this.products / this.samples - inFlight * latency) / variance;
    return (slope * inFlight) / latency;
  }
}
