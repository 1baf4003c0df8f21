/** Weight of one result: the share covers about the last ten results. */
const resultWeight = 0.1;
/** Time in which the share halves while the server receives no requests, so that it is used again eventually. */
const halfLifeMilliseconds = 2_000;

/** Share of recent requests that failed at the server, decaying over time. */
export class RecentFailures {
  private value = 0;
  private updatedAt = 0;

  public add(isFailure: boolean, now: number): void {
    this.value = this.share(now);
    this.value += resultWeight * ((isFailure ? 1 : 0) - this.value);
    this.updatedAt = now;
  }

  public share(now: number): number {
    const elapsed = Math.max(0, now - this.updatedAt);
    return this.value * 0.5 ** (elapsed / halfLifeMilliseconds);
  }
}
