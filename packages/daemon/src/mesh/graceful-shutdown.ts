/** Callers notice the shutdown after two failed readiness checks, one second apart; until then new requests arrive. */
const readinessNoticeMilliseconds = 2_300;
/** The process takes requests for at most this time after the stop signal, and for at most this share of the grace period. */
const acceptanceMilliseconds = 3_000;
const acceptanceShare = 0.5;
/** The gate starts requests for this time after the stop signal, and for at most this share of the grace period. */
const gateMilliseconds = 1_300;
const gateShare = 0.2;
/** The process exits by itself before it would be terminated by force: by this time, and by at most this share of the grace period. */
const exitMarginMilliseconds = 700;
const exitMarginShare = 0.125;
/** Time to write the last responses. */
const responseMarginMilliseconds = 100;

/** Decides until when a process that received a stop signal takes requests and answers them, and when it may exit. */
export class GracefulShutdown {
  public constructor(
    private readonly startedAt: number,
    private readonly graceMilliseconds: number,
  ) {}

  /** From this time on, new requests are refused. */
  public get refusesFrom(): number {
    const acceptance = Math.min(acceptanceMilliseconds, this.graceMilliseconds * acceptanceShare);
    return this.startedAt + acceptance;
  }

  /** From this time on, the gate declines requests; those that it runs end before the process does. */
  public get gateClosesFrom(): number {
    return this.startedAt + Math.min(gateMilliseconds, this.graceMilliseconds * gateShare);
  }

  /** By this time, each request that was taken must have an outcome. */
  public get outcomesDueAt(): number {
    return this.exitsAt - responseMarginMilliseconds;
  }

  /** The process exits then, whatever is in progress. */
  public get exitsAt(): number {
    const margin = Math.min(exitMarginMilliseconds, this.graceMilliseconds * exitMarginShare);
    return this.startedAt + this.graceMilliseconds - margin;
  }

  public mayExit(now: number, inProgress: number): boolean {
    if (now >= this.exitsAt) return true;
    return now - this.startedAt >= readinessNoticeMilliseconds && inProgress === 0;
  }
}
