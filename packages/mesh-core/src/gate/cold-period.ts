/**
 * Until when the server has to be treated as cold. A server is cold after its start and may turn cold again at any
 * moment, under the same identifier.
 *
 * Reports only extend the period, because a report may have been sent seconds before it arrives. Only the answer to a
 * health check that was sent after all other evidence can shorten it.
 */
export class ColdPeriod {
  private until = Number.NEGATIVE_INFINITY;
  /** When the period was last extended. */
  private extendedAt = Number.NEGATIVE_INFINITY;
  private isAssumed = false;
  /** Until when the server was certainly cold, according to its reports and health checks. */
  private certainUntil = Number.NEGATIVE_INFINITY;

  public isCold(now: number): boolean {
    return now < this.until;
  }

  public remainingMilliseconds(now: number): number {
    return Math.max(0, this.until - now);
  }

  /** Time since the server was last certainly cold; 0 while it is. */
  public millisecondsSinceCold(now: number): number {
    return Math.max(0, now - this.certainUntil);
  }

  /** Whether the server is only assumed to be cold, so that a health check should show whether it is. */
  public needsHealthCheck(now: number): boolean {
    return this.isAssumed && this.isCold(now);
  }

  /** Handles the start of another incarnation of the server. */
  public reset(): void {
    this.until = Number.NEGATIVE_INFINITY;
    this.certainUntil = Number.NEGATIVE_INFINITY;
    this.isAssumed = false;
  }

  /** Handles a report of the server that it stays cold for this long. */
  public onReported(coldMilliseconds: number, now: number): void {
    if (coldMilliseconds <= 0) return;
    this.extend(now + coldMilliseconds, now);
    this.certainUntil = Math.max(this.certainUntil, now + coldMilliseconds);
  }

  /** Handles an event after which the server may be cold, such as a failure to respond. */
  public assume(coldStartMilliseconds: number, now: number): void {
    this.extend(now + coldStartMilliseconds, now);
    this.isAssumed = true;
  }

  /** Handles the answer to a health check that was sent at the given time. */
  public onHealthChecked(sentAt: number, coldMilliseconds: number, now: number): void {
    if (sentAt < this.extendedAt) {
      this.onReported(coldMilliseconds, now);
      return;
    }
    this.until = now + coldMilliseconds;
    this.certainUntil = coldMilliseconds > 0 ? this.until : Math.min(this.certainUntil, now);
    this.isAssumed = false;
  }

  private extend(until: number, now: number): void {
    this.until = Math.max(this.until, until);
    this.extendedAt = now;
  }
}
