import type { LoadReport } from '../messages/load-report.js';
import { RefusalReason, RequestClass, RetryReason, UnknownReason } from '../messages/outcome.js';
import type { CallOutcome, Refusal } from '../messages/outcome.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import { AttemptEnd } from '../routing/router-contract.js';
import type { RouterContract, Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { assertInvariant } from '../shared/invariant-error.js';
import { AttemptRegister } from './attempt-register.js';
import type { Call, CallCommand, CallEngineContract, RetryBudgetUse } from './call-contract.js';
import { CallState } from './call-state.js';
import type { Attempt } from './call-state.js';
import { CallTimers } from './call-timers.js';
import { ServiceBudgets } from './service-budgets.js';

/** Targets that may refuse one call; more would multiply the work of refusing during an overload. */
const maximumRefusals = 3;
/** Retries and hedges of one call, so that a single call can't empty the service's budget. */
const maximumRepeats = 2;
const hedgeQuantile = 0.95;
/** Shorter delays would hedge on the jitter of timers and network. */
const minimumHedgeMilliseconds = 5;
const retryAfterNoUpstreamMilliseconds = 1_000;
const firstFailureStatus = 500;
/** Statuses by which an upstream says that it, not the request, is at fault for the moment. */
const repeatableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);
/** A server error for the request itself; the upstream works. */
const notImplementedStatus = 501;

/** Runs calls: first attempts, retries, hedges, deadlines. */
export class CallEngine implements CallEngineContract {
  private readonly calls = new Map<number, CallState>();
  private readonly attempts: AttemptRegister;
  private readonly services = new ServiceBudgets();
  private readonly timers = new CallTimers(
    (state) => this.calls.get(state.call.callNumber) === state,
  );

  /** Attempts are numbered from `firstAttemptId`; numbers of an earlier life must not come again. */
  public constructor(
    private readonly router: RouterContract,
    firstAttemptId = 1,
  ) {
    this.attempts = new AttemptRegister(router, firstAttemptId);
  }

  public retryBudgets(): readonly RetryBudgetUse[] {
    return this.services.uses();
  }

  public get callsInProgress(): number {
    return this.calls.size;
  }

  public get lateResults(): number {
    return this.attempts.lateResults;
  }

  public configure(configuration: ServiceConfiguration): void {
    this.services.configure(configuration);
  }

  public begin(call: Call, now: ClockReading): readonly CallCommand[] {
    assertInvariant(!this.calls.has(call.callNumber), 'call numbers are unique');
    const state = new CallState(call);
    if (call.deadline <= now.monotonic) {
      return [
        {
          callNumber: call.callNumber,
          kind: 'conclude',
          outcome: { kind: 'refused-not-run', reason: RefusalReason.DeadlineExpired },
        },
      ];
    }
    this.calls.set(call.callNumber, state);
    this.timers.add(call.deadline, 'deadline', state);
    this.armHedge(state, now);
    const commands: CallCommand[] = [];
    this.tryNext(state, undefined, now, commands);
    return commands;
  }

  public admitted(attemptId: number): readonly CallCommand[] {
    const attempt = this.attempts.get(attemptId);
    // Calls with a streamed body are not hedged, so there is no other attempt to cancel.
    if (attempt?.call.call.bodyHeld === false) attempt.call.bodyConsumed = true;
    return [];
  }

  public refused(attemptId: number, refusal: Refusal, now: ClockReading): readonly CallCommand[] {
    const attempt = this.attempts.end(attemptId, AttemptEnd.Refused, refusal.load, now);
    return attempt === undefined ? [] : this.notStarted(attempt, refusal, now);
  }

  public answered(
    attemptId: number,
    status: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[] {
    const isFault = status >= firstFailureStatus && status !== notImplementedStatus;
    const end = isFault ? AttemptEnd.Failed : AttemptEnd.Answered;
    const attempt = this.attempts.end(attemptId, end, load, now);
    if (attempt === undefined) return [];
    const state = attempt.call;
    const commands: CallCommand[] = [];
    if (repeatableStatuses.has(status) && this.repeatInstead(state, now, commands)) {
      state.mayHaveRun = UnknownReason.UpstreamFailed;
      return commands;
    }
    if (!isFault) this.services.of(state.call.service).budget.succeeded();
    this.conclude(state, { kind: 'answered', status }, attempt.attemptId, now, commands);
    return commands;
  }

  public failed(
    attemptId: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[] {
    const attempt = this.attempts.end(attemptId, AttemptEnd.Failed, load, now);
    if (attempt === undefined) return [];
    const commands: CallCommand[] = [];
    this.mayHaveRun(attempt.call, UnknownReason.UpstreamFailed, now, commands);
    return commands;
  }

  public notSent(attemptId: number, congested: boolean, now: ClockReading): readonly CallCommand[] {
    // A full write buffer is no sign that the target fails.
    const end = congested ? AttemptEnd.Refused : AttemptEnd.Unreachable;
    const attempt = this.attempts.end(attemptId, end, undefined, now);
    if (attempt === undefined) return [];
    const reason = congested ? RefusalReason.PeerCongested : RefusalReason.PeerUnreachable;
    return this.notStarted(attempt, { reason }, now);
  }

  public peerLost(server: string, now: ClockReading): readonly CallCommand[] {
    const commands: CallCommand[] = [];
    for (const attemptId of this.attempts.idsAt(server)) {
      const attempt = this.attempts.end(attemptId, AttemptEnd.Unreachable, undefined, now);
      if (attempt === undefined) continue;
      this.mayHaveRun(attempt.call, UnknownReason.ConnectionLost, now, commands);
    }
    return commands;
  }

  public abandon(callNumber: number, now: ClockReading): readonly CallCommand[] {
    const state = this.calls.get(callNumber);
    if (state === undefined) return [];
    const commands: CallCommand[] = [];
    this.withdrawAll(state, now, commands);
    this.calls.delete(callNumber);
    return commands;
  }

  public tick(now: ClockReading): readonly CallCommand[] {
    const commands: CallCommand[] = [];
    for (;;) {
      const timer = this.timers.popDue(now.monotonic);
      if (timer === undefined) break;
      if (timer.kind === 'hedge') this.hedge(timer.state, now, commands);
      else {
        const outcome = unknown(UnknownReason.DeadlineAfterStart);
        this.conclude(timer.state, outcome, undefined, now, commands);
      }
    }
    this.timers.compact(this.calls.size);
    return commands;
  }

  /** The attempt did not run, so another target may, whatever the request's class. */
  private notStarted(
    attempt: Attempt,
    refusal: Refusal,
    now: ClockReading,
  ): readonly CallCommand[] {
    const state = attempt.call;
    const commands: CallCommand[] = [];
    state.noteRefusal(refusal);
    if (state.live.size === 0) {
      this.tryNext(state, RetryReason.RefusedElsewhere, now, commands);
    }
    return commands;
  }

  /** The attempt may have run and gave no answer: only an idempotent call may be repeated. */
  private mayHaveRun(
    state: CallState,
    reason: UnknownReason,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    state.mayHaveRun = reason;
    if (this.repeatInstead(state, now, commands)) return;
    this.conclude(state, unknown(reason), undefined, now, commands);
  }

  /** Waits for another live attempt, or starts one within the budget. False if neither is possible. */
  private repeatInstead(state: CallState, now: ClockReading, commands: CallCommand[]): boolean {
    if (state.call.requestClass !== RequestClass.Idempotent) return false;
    if (state.live.size > 0) return true;
    return this.repeat(state, RetryReason.AttemptFailed, now, commands);
  }

  private repeat(
    state: CallState,
    reason: RetryReason,
    now: ClockReading,
    commands: CallCommand[],
  ): boolean {
    const { budget } = this.services.of(state.call.service);
    const isPossible = budget.hasToken && state.repeats < maximumRepeats && !state.bodyConsumed;
    if (!isPossible || state.call.deadline <= now.monotonic) return false;
    // A call that failed or is slow already should not become a trial as well.
    const target = this.router.choose(state.call.service, state.tried, now, true);
    if (target === undefined) return false;
    budget.spend();
    state.repeats += 1;
    this.dispatch(state, target, reason, now, commands);
    return true;
  }

  /** Sends the call to the next target, or refuses it at once when there is none. */
  private tryNext(
    state: CallState,
    reason: RetryReason | undefined,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    const mayTry = state.refusals < maximumRefusals && !state.bodyConsumed;
    const target =
      mayTry && state.call.deadline > now.monotonic ? this.nextTarget(state, now) : undefined;
    if (target !== undefined) {
      this.dispatch(state, target, reason, now, commands);
      return;
    }
    const outcome =
      state.mayHaveRun === undefined
        ? state.finalRefusal(retryAfterNoUpstreamMilliseconds)
        : unknown(state.mayHaveRun);
    this.conclude(state, outcome, undefined, now, commands);
  }

  private nextTarget(state: CallState, now: ClockReading): Target | undefined {
    const { preferredServer, requestClass, service } = state.call;
    const preferred =
      preferredServer === undefined || state.tried.has(preferredServer)
        ? undefined
        : this.router.chooseServer(service, preferredServer, now);
    const avoidTrial = requestClass === RequestClass.NonIdempotent;
    return preferred ?? this.router.choose(service, state.tried, now, avoidTrial);
  }

  private dispatch(
    state: CallState,
    target: Target,
    retryReason: RetryReason | undefined,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    const attempt = this.attempts.start(state, target, now);
    commands.push({
      attemptId: attempt.attemptId,
      callNumber: state.call.callNumber,
      kind: 'dispatch',
      remainingMilliseconds: state.call.deadline - now.monotonic,
      retryReason,
      target,
    });
  }

  private armHedge(state: CallState, now: ClockReading): void {
    const { bodyHeld, deadline, requestClass, service } = state.call;
    if (requestClass !== RequestClass.Idempotent || !bodyHeld) return;
    if (!this.services.of(service).hedging) return;
    const latency = this.router.latencyQuantile(service, hedgeQuantile);
    if (latency === undefined) return;
    const time = now.monotonic + Math.max(minimumHedgeMilliseconds, latency);
    if (time < deadline) this.timers.add(time, 'hedge', state);
  }

  private hedge(state: CallState, now: ClockReading, commands: CallCommand[]): void {
    if (state.hedged || state.live.size !== 1) return;
    state.hedged = this.repeat(state, RetryReason.Hedge, now, commands);
  }

  private conclude(
    state: CallState,
    outcome: CallOutcome,
    attemptId: number | undefined,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    this.withdrawAll(state, now, commands);
    this.calls.delete(state.call.callNumber);
    commands.push({ attemptId, callNumber: state.call.callNumber, kind: 'conclude', outcome });
  }

  private withdrawAll(state: CallState, now: ClockReading, commands: CallCommand[]): void {
    for (const attempt of [...state.live]) {
      this.attempts.withdraw(attempt, now);
      const { attemptId, target } = attempt;
      commands.push({ attemptId, kind: 'cancel-attempt', target });
    }
  }
}

function unknown(reason: UnknownReason): CallOutcome {
  return { attemptStarted: true, kind: 'outcome-unknown', reason };
}
