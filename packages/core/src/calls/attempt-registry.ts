import type { LoadReport } from '../messages/load-report.js';
import { AttemptOutcome } from '../routing/router-contract.js';
import type { RouterContract, Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Attempt, CallState } from './call-state.js';

/**
 * Attempts without a result, by identifier and by server. Notifies the router of each start and
 * end.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<number, Attempt>();
  private readonly attemptIdsByServer = new Map<string, Set<number>>();
  private lateResultCount = 0;

  public constructor(
    private readonly router: RouterContract,
    private nextAttemptId: number,
  ) {}

  /** Number of results that arrived after their attempt had ended. */
  public get lateResults(): number {
    return this.lateResultCount;
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
    call.liveAttempts.add(attempt);
    call.triedServers.add(target.server);
    const atServer = this.attemptIdsByServer.get(target.server) ?? new Set<number>();
    atServer.add(attempt.attemptId);
    this.attemptIdsByServer.set(target.server, atServer);
    this.router.onSent(target.server, now);
    return attempt;
  }

  public get(attemptId: number): Attempt | undefined {
    return this.attempts.get(attemptId);
  }

  /**
   * Ends an attempt with its result. A result of an attempt that has already ended is counted as
   * late.
   */
  public complete(
    attemptId: number,
    outcome: AttemptOutcome,
    load: LoadReport | undefined,
    now: ClockReading,
  ): Attempt | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      this.lateResultCount += 1;
      return undefined;
    }
    if (load !== undefined) this.router.onLoadReport(attempt.target.server, load, now);
    this.remove(attempt, outcome, now);
    return attempt;
  }

  /** Ends an attempt whose result is no longer needed. */
  public cancel(attempt: Attempt, now: ClockReading): void {
    this.remove(attempt, AttemptOutcome.Cancelled, now);
  }

  /** Identifiers of the attempts in progress at a server. */
  public attemptIdsAt(server: string): readonly number[] {
    return [...(this.attemptIdsByServer.get(server) ?? [])];
  }

  private remove(attempt: Attempt, outcome: AttemptOutcome, now: ClockReading): void {
    this.attempts.delete(attempt.attemptId);
    attempt.call.liveAttempts.delete(attempt);
    const { server } = attempt.target;
    const atServer = this.attemptIdsByServer.get(server);
    atServer?.delete(attempt.attemptId);
    if (atServer?.size === 0) this.attemptIdsByServer.delete(server);
    this.router.onAttemptEnded(server, outcome, now.monotonic - attempt.sentAt, now);
  }
}
