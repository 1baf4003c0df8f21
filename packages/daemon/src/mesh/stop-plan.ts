/** Callers are told by two missed readiness checks of a second each; until then new requests come. */
const readinessNoticeMilliseconds = 2_300;
/** Time before the end by force at which the process ends by itself. */
const reserveMilliseconds = 700;

/** When a process that was told to stop may end. */
export class StopPlan {
  public constructor(
    private readonly startedAt: number,
    private readonly graceMilliseconds: number,
  ) {}

  public mayEnd(now: number, inProgress: number): boolean {
    const elapsed = now - this.startedAt;
    if (elapsed >= this.graceMilliseconds - reserveMilliseconds) return true;
    return elapsed >= readinessNoticeMilliseconds && inProgress === 0;
  }
}
