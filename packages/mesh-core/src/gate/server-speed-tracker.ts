/** Age up to which a report of normal speed is considered valid. */
const fastReportValidityMilliseconds = 25;
/** Age up to which a report of a slowdown is considered valid. */
const slowReportValidityMilliseconds = 35;
/** The server counts as slow if its slowdown factor exceeds the lowest recent one by this factor. */
const slowFactor = 1.6;
/**
 * Time after which the lowest slowdown factor is replaced by the next report. It equals about five slowdowns
 * of usual duration, so that a server that stays slow for longer is soon treated as a slow server.
 */
const baselineRetentionMilliseconds = 700;

export const SpeedState = {
  Fast: 'fast',
  Slow: 'slow',
  /** The latest report is too old to be valid. */
  Unknown: 'unknown',
} as const;
export type SpeedState = (typeof SpeedState)[keyof typeof SpeedState];

/**
 * Tracks the current speed of the server from the slowdown factors that it reports. Other programs on its
 * machine slow it down for about 150 ms at a time, and a request that starts during a slowdown stays slow
 * until it finishes.
 */
export class ServerSpeedTracker {
  private latestSlowdown = 1;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private lowestSlowdown = Infinity;
  private lowestAt = Number.NEGATIVE_INFINITY;
  private hasSample = false;

  public recordSlowdown(slowdown: number, now: number): void {
    this.hasSample = true;
    this.latestSlowdown = slowdown;
    this.reportedAt = now;
    if (slowdown <= this.lowestSlowdown || now - this.lowestAt > baselineRetentionMilliseconds) {
      this.lowestSlowdown = slowdown;
      this.lowestAt = now;
    }
  }

  /** The slowdown factor of the latest report; 1 for normal speed. */
  public get currentSlowdown(): number {
    return this.latestSlowdown;
  }

  /** Milliseconds since the latest report; infinite if there is none. */
  public reportAge(now: number): number {
    return now - this.reportedAt;
  }

  /** The lowest recent slowdown factor, which is taken as the server's normal speed; 1 before the first report. */
  public get baselineSlowdown(): number {
    return this.hasSample ? this.lowestSlowdown : 1;
  }

  /** The latest slowdown factor relative to the baseline. */
  public get relativeSlowdown(): number {
    return this.latestSlowdown / this.baselineSlowdown;
  }

  /** Whether the server has ever reported its speed. */
  public get hasReports(): boolean {
    return this.hasSample;
  }

  public state(now: number): SpeedState {
    const isSlow = this.latestSlowdown > this.lowestSlowdown * slowFactor;
    const age = now - this.reportedAt;
    if (age > (isSlow ? slowReportValidityMilliseconds : fastReportValidityMilliseconds))
      return SpeedState.Unknown;
    return isSlow ? SpeedState.Slow : SpeedState.Fast;
  }
}
