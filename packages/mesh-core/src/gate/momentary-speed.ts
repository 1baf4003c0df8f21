/**
 * Time after which a reported slowdown says nothing more. Neighbours on the machine slow a server for
 * spans of about 150 ms, of which half has passed when a report arrives.
 */
const spanMilliseconds = 100;

/** How much slower than usual the server works at this moment, from the newest report. */
export class MomentarySpeed {
  private slowdown = 1;
  private reportedAt = Number.NEGATIVE_INFINITY;

  public report(slowdown: number, now: number): void {
    this.slowdown = slowdown;
    this.reportedAt = now;
  }

  /** 1 for the usual speed; a report's weight falls with its age. */
  public current(now: number): number {
    const age = now - this.reportedAt;
    if (age > spanMilliseconds) return 1;
    return 1 + (this.slowdown - 1) * (1 - age / spanMilliseconds);
  }
}
