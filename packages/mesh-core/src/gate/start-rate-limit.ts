/**
 * Length of the window in which starts are counted. It exceeds one second because a request leaves the process some
 * time after it was started, so that starts more than a second apart may leave within one second.
 */
export const startWindowMilliseconds = 1_100;

/** Requests of an earlier process left it before this one started, so the time between start and sending does not count. */
const earlierProcessMilliseconds = 1_000;

/**
 * Counts the requests that the server received in the last second. The window slides: with a count that restarts
 * each second, twice the limit could arrive around the restart.
 */
export class StartRateLimit {
  /** Times of the starts within the window, the oldest first. */
  private readonly starts: number[] = [];

  /**
   * @param processStartedAt start of the process. An earlier process may have used up the limit just before, so no
   * start is available for one second from then on.
   */
  public constructor(private readonly processStartedAt: number) {}

  public recordStart(now: number): void {
    this.removeExpired(now);
    this.starts.push(now);
  }

  /** Time until the start at the given position, counted from 1, is available with at most so many starts per window. */
  public waitForStart(position: number, maximumStarts: number, now: number): number {
    this.removeExpired(now);
    const untilKnown = Math.max(0, this.processStartedAt + earlierProcessMilliseconds - now);
    const missingStarts = this.starts.length + position - maximumStarts;
    if (missingStarts <= 0) return untilKnown;
    // A start is available one window after the start that precedes it by `maximumStarts`.
    const precedingStart = this.starts[(missingStarts - 1) % maximumStarts] ?? now;
    const windows = Math.ceil(missingStarts / maximumStarts);
    return Math.max(untilKnown, precedingStart + windows * startWindowMilliseconds - now);
  }

  private removeExpired(now: number): void {
    let expired = 0;
    for (const start of this.starts) {
      if (now - start < startWindowMilliseconds) break;
      expired += 1;
    }
    if (expired > 0) this.starts.splice(0, expired);
  }
}
