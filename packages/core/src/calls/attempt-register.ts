import type { LoadReport } from '../messages/load-report.js';
import { AttemptEnd } from '../routing/router-contract.js';
import type { RouterContract, Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Attempt, CallState } from './call-state.js';

/** All attempts without a result, by identifier and by server. Tells the router of each start and end. */
export class AttemptRegister {
  private readonly attempts = new Map<number, Attempt>();
  private readonly byServer = new Map<string, Set<number>>();
  private late = 0;

  public constructor(
    private readonly router: RouterContract,
    private nextAttemptId: number,
  ) {}

  /** Results of attempts that were no longer wanted. */
  public get lateResults(): number {
    return this.late;
  }

  public start(call: CallState, target: Target, now: ClockReading): Attempt {
    const attempt: Attempt = {
      attemptId: this.nextAttemptId,
      call,
      sentAt: now.monotonic,
      target,
    };
    this.nextAttemptId += 1;
    this.attempts.set(attempt.attemptId, attempt);
    call.live.add(attempt);
    call.tried.add(target.server);
    const atServer = this.byServer.get(target.server) ?? new Set<number>();
    atServer.add(attempt.attemptId);
    this.byServer.set(target.server, atServer);
    this.router.sent(target.server, now);
    return attempt;
  }

  public get(attemptId: number): Attempt | undefined {
    return this.attempts.get(attemptId);
  }

  /** Takes the result of an attempt. A result for an attempt that is not wanted is counted as late. */
  public end(
    attemptId: number,
    end: AttemptEnd,
    load: LoadReport | undefined,
    now: ClockReading,
  ): Attempt | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      this.late += 1;
      return undefined;
    }
    if (load !== undefined) this.router.reported(attempt.target.server, load, now);
    this.remove(attempt, end, now);
    return attempt;
  }

  /** Ends an attempt whose result is no longer wanted. */
  public withdraw(attempt: Attempt, now: ClockReading): void {
    this.remove(attempt, AttemptEnd.Cancelled, now);
  }

  /** Identifiers of the attempts at a server. */
  public idsAt(server: string): readonly number[] {
    return [...(this.byServer.get(server) ?? [])];
  }

  private remove(attempt: Attempt, end: AttemptEnd, now: ClockReading): void {
    this.attempts.delete(attempt.attemptId);
    attempt.call.live.delete(attempt);
    const { server } = attempt.target;
    const atServer = this.byServer.get(server);
    atServer?.delete(attempt.attemptId);
    if (atServer?.size === 0) this.byServer.delete(server);
    this.router.concluded(server, end, now.monotonic - attempt.sentAt, now);
  }
}
