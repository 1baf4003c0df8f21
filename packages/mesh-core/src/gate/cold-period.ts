/**
 * Until when the server has to be treated as cold. A server is cold after its start and may turn cold again at any
 * moment, under the same identifier.
 *
 * Reports only extend the time that is known, because a report may have been sent seconds before it arrives. Only the
 * answer to a health check that was sent after all other evidence can shorten it, or end an assumption.
 */
export class ColdPeriod {
  /** Until when the server is or was cold, according to its reports and health checks. */
  private knownUntil = Number.NEGATIVE_INFINITY;
  /** An assumption that the server is cold which no health check has confirmed or ended. */
  private assumption: { readonly since: number; readonly renewedAt: number } | undefined;
  /** Time of the latest evidence that the server is cold, known or assumed. */
  private evidenceAt = Number.NEGATIVE_INFINITY;

  /** Time until the server is no longer cold, if it stays so for `durationMilliseconds` after the event assumed. */
  public remainingMilliseconds(durationMilliseconds: number, now: number): number {
    const assumedUntil =
      (this.assumption?.renewedAt ?? Number.NEGATIVE_INFINITY) + durationMilliseconds;
    return Math.max(0, this.knownUntil - now, assumedUntil - now);
  }

  /** Time since the server was last known to be cold; 0 while it is. */
  public millisecondsSinceKnownCold(now: number): number {
    return Math.max(0, now - this.knownUntil);
  }

  /** Time since an assumption was made that still needs a health check; undefined if there is none. */
  public millisecondsSinceAssumed(durationMilliseconds: number, now: number): number | undefined {
    if (this.assumption === undefined) return undefined;
    const { renewedAt, since } = this.assumption;
    return now < renewedAt + durationMilliseconds ? now - since : undefined;
  }

  /** Handles the start of another incarnation of the server. */
  public reset(): void {
    this.knownUntil = Number.NEGATIVE_INFINITY;
    this.assumption = undefined;
  }

  /** Handles a report of the server that it stays cold for this long. */
  public onReported(coldMilliseconds: number, now: number): void {
    if (coldMilliseconds <= 0) return;
    this.knownUntil = Math.max(this.knownUntil, now + coldMilliseconds);
    this.evidenceAt = now;
  }

  /** Handles an event after which the server may be cold, such as a failure to respond. */
  public assume(durationMilliseconds: number, now: number): void {
    const elapsed = this.millisecondsSinceAssumed(durationMilliseconds, now) ?? 0;
    this.assumption = { renewedAt: now, since: now - elapsed };
    this.evidenceAt = now;
  }

  /** Handles the answer to a health check that was sent at the given time. */
  public onHealthChecked(sentAt: number, coldMilliseconds: number, now: number): void {
    if (sentAt < this.evidenceAt) {
      this.onReported(coldMilliseconds, now);
      return;
    }
    this.assumption = undefined;
    this.knownUntil =
      coldMilliseconds > 0 ? now + coldMilliseconds : Math.min(this.knownUntil, now);
  }
}
