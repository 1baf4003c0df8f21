import { ColdPeriod } from './cold-period.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import type { ServerReport } from './gate-contract.js';
import { StartRateLimit, startWindowMilliseconds } from './start-rate-limit.js';

/** Interval between two health checks of a server that is assumed to be cold. */
const checkIntervalMilliseconds = 250;
/** Without a report for this many intervals, the server may have restarted unnoticed. Single reports may be late or lost. */
const missingReportIntervals = 3;

/** A health check is expected to be answered within this time, if the server responds. */
const expectedCheckMilliseconds = 25;
/** Without an answer to a health check for this long, the server is no longer expected to answer soon. */
const hopefulCheckMilliseconds = 100;

/** Events after which a server is treated as cold until a health check shows that it is not. */
export const ColdAssumptionCause = {
  EvacuationEnded: 'evacuation-ended',
  /** The first report that this process received may have been sent seconds ago. */
  FirstReport: 'first-report',
  MissingReports: 'missing-reports',
  NoResponse: 'no-response',
} as const;
export type ColdAssumptionCause = (typeof ColdAssumptionCause)[keyof typeof ColdAssumptionCause];

export interface ColdStartGuardOptions {
  /** Interval at which the server reports its state. */
  readonly reportIntervalMilliseconds: number;
  /** Start of this process on the monotonic clock. */
  readonly processStartedAt: number;
  readonly onAssumed: (cause: ColdAssumptionCause) => void;
}

/**
 * Bounds the requests that a cold server receives in any second: it bears only a few, and more of them make it
 * fail, so that it returns cold once more.
 */
export class ColdStartGuard {
  private readonly coldPeriod = new ColdPeriod();
  private readonly startRateLimit: StartRateLimit;
  private limit: ColdStartLimit | undefined;
  private nextCheckAt = 0;
  /** Time of the last report or health check, from which a gap in the reports is measured. */
  private serverSeenAt = Infinity;

  public constructor(private readonly options: ColdStartGuardOptions) {
    this.startRateLimit = new StartRateLimit(options.processStartedAt);
  }

  public configure(limit: ColdStartLimit | undefined): void {
    this.limit = limit;
  }

  /** Whether the server is cold, or may be. */
  public isCold(now: number): boolean {
    return this.coldPeriod.remainingMilliseconds(this.durationMilliseconds, now) > 0;
  }

  /** Handles a report of the server that is not outdated. */
  public onReport(
    { coldMilliseconds }: ServerReport,
    isNewIncarnation: boolean,
    now: number,
  ): void {
    this.serverSeenAt = now;
    if (isNewIncarnation) {
      this.coldPeriod.reset();
      if (coldMilliseconds === 0) this.assumeCold(ColdAssumptionCause.FirstReport, now);
    }
    this.coldPeriod.onReported(coldMilliseconds, now);
  }

  /** Handles the answer to a health check that was sent at the given time. */
  public onHealthChecked(sentAt: number, coldMilliseconds: number, now: number): void {
    this.serverSeenAt = now;
    this.coldPeriod.onHealthChecked(sentAt, coldMilliseconds, now);
  }

  public assumeCold(cause: ColdAssumptionCause, now: number): void {
    if (this.limit !== undefined && !this.isCold(now)) this.options.onAssumed(cause);
    this.coldPeriod.assume(this.durationMilliseconds, now);
  }

  public recordStart(now: number): void {
    this.startRateLimit.recordStart(now);
  }

  /** Time until the server may receive the request at a position of the queue, counted from 1. */
  public waitForStart(position: number, now: number): number {
    if (this.limit === undefined) return 0;
    const remainingMilliseconds = this.limitRemaining(now);
    if (remainingMilliseconds === 0) return 0;
    const wait = this.startRateLimit.waitForStart(position, this.limit.maximumRequests, now);
    return Math.min(wait, remainingMilliseconds);
  }

  /**
   * Expected value of `waitForStart`. It is lower while a health check is about to show whether the server is cold at
   * all, so that requests wait for its answer rather than being declined.
   */
  public expectedWaitForStart(position: number, now: number): number {
    const wait = this.waitForStart(position, now);
    const sinceAssumed = this.coldPeriod.millisecondsSinceAssumed(this.durationMilliseconds, now);
    const isCheckHopeful =
      sinceAssumed !== undefined &&
      sinceAssumed < hopefulCheckMilliseconds &&
      this.coldPeriod.millisecondsSinceKnownCold(now) > 0;
    return isCheckHopeful ? Math.min(wait, expectedCheckMilliseconds) : wait;
  }

  /** Whether a health check should show now whether the server is cold. */
  public isHealthCheckDue(now: number): boolean {
    const maximumGap = missingReportIntervals * this.options.reportIntervalMilliseconds;
    if (now - this.serverSeenAt > maximumGap) {
      this.serverSeenAt = now;
      this.assumeCold(ColdAssumptionCause.MissingReports, now);
    }
    if (now < this.nextCheckAt) return false;
    return this.coldPeriod.millisecondsSinceAssumed(this.durationMilliseconds, now) !== undefined;
  }

  public onHealthCheckSent(now: number): void {
    this.nextCheckAt = now + checkIntervalMilliseconds;
  }

  /** Time for which an assumption holds; without a declared limit there is no need for any. */
  private get durationMilliseconds(): number {
    return this.limit?.durationMilliseconds ?? 0;
  }

  /**
   * Time until the limit ends. It outlasts the cold period by one window, because it holds in each second during a part of
   * which the server was cold.
   */
  private limitRemaining(now: number): number {
    return Math.max(
      this.coldPeriod.remainingMilliseconds(this.durationMilliseconds, now),
      startWindowMilliseconds - this.coldPeriod.millisecondsSinceKnownCold(now),
      0,
    );
  }
}
