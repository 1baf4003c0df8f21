/** Callers are told by two missed readiness checks of a second each; until then new requests come. */
const readinessNoticeMilliseconds = 2_300;
/** New requests are refused from here on: they could not be sure to end before the process does. */
const lastRequestMilliseconds = 3_000;
/** Time before the end by force at which the process ends by itself. */
const reserveMilliseconds = 700;

/** When a process that was told to stop may end. */
export class StopPlan {
  public constructor(
    private readonly startedAt: number,
    private readonly graceMilliseconds: number,
  ) {}

  public refusesRequests(now: number): boolean {
    return now - this.startedAt >= lastRequestMilliseconds;
  }

  public mayEnd(now: number, inProgress: number): boolean {
    const elapsed = now - this.startedAt;
    if (elapsed >= this.graceMilliseconds - reserveMilliseconds) return true;
    return elapsed >= readinessNoticeMilliseconds && inProgress === 0;
  }
}
