/** Callers notice the shutdown after two failed readiness checks, one second apart; until then new requests arrive. */
const readinessNoticeMilliseconds = 2_300;
/** After this time new requests are refused, because they might not complete before the process exits. */
const refusalStartMilliseconds = 3_000;
/** The process exits by itself this long before it would be terminated by force. */
const exitMarginMilliseconds = 700;

/** Decides when a process that received a stop signal refuses requests and when it may exit. */
export class GracefulShutdown {
  public constructor(
    private readonly startedAt: number,
    private readonly graceMilliseconds: number,
  ) {}

  public refusesRequests(now: number): boolean {
    return now - this.startedAt >= refusalStartMilliseconds;
  }

  public mayExit(now: number, inProgress: number): boolean {
    const elapsed = now - this.startedAt;
    if (elapsed >= this.graceMilliseconds - exitMarginMilliseconds) return true;
    return elapsed >= readinessNoticeMilliseconds && inProgress === 0;
  }
}
