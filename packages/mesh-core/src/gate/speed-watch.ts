/** Age up to which a report of the usual speed is taken to hold. */
const fastMilliseconds = 25;
/** Age up to which a report of a slow moment is taken to hold. */
const slowMilliseconds = 35;
/** A slowdown of this many times the lowest recent one is a slow moment. */
const slowFactor = 1.6;
/**
 * Time in which the lowest slowdown is forgotten: some five spans, so that a server that turned slow for
 * longer is soon known as such.
 */
const baselineMilliseconds = 700;

export const SpeedState = {
  Fast: 'fast',
  Slow: 'slow',
  /** The newest report is too old to tell. */
  Unknown: 'unknown',
} as const;
export type SpeedState = (typeof SpeedState)[keyof typeof SpeedState];

/**
 * How fast the server works at this moment, from its reports. Neighbours on its machine slow it down
 * for spans of some 150 ms, and a request that starts in one is slow to its end.
 */
export class SpeedWatch {
  private slowdown = 1;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private lowest = Infinity;
  private lowestAt = Number.NEGATIVE_INFINITY;
  private hasReported = false;

  public report(slowdown: number, now: number): void {
    this.hasReported = true;
    this.slowdown = slowdown;
    this.reportedAt = now;
    if (slowdown <= this.lowest || now - this.lowestAt > baselineMilliseconds) {
      this.lowest = slowdown;
      this.lowestAt = now;
    }
  }

  /** The newest report; 1 for the usual speed. */
  public get current(): number {
    return this.slowdown;
  }

  /** Time since the newest report; infinite if there is none. */
  public age(now: number): number {
    return now - this.reportedAt;
  }

  /** The lowest slowdown of the last moments, at which requests start. */
  public get baseline(): number {
    return this.hasReported ? this.lowest : 1;
  }

  /** The newest slowdown relative to the baseline. */
  public get relative(): number {
    return this.slowdown / this.baseline;
  }

  /** Whether the server reports its speed at all. */
  public get isReported(): boolean {
    return this.hasReported;
  }

  public state(now: number): SpeedState {
    const isSlow = this.slowdown > this.lowest * slowFactor;
    const age = now - this.reportedAt;
    if (age > (isSlow ? slowMilliseconds : fastMilliseconds)) return SpeedState.Unknown;
    return isSlow ? SpeedState.Slow : SpeedState.Fast;
  }
}
