import type { LoadReport } from '../messages/load-report.js';
import { RefusalReason, RequestClass, RetryReason, UnknownReason } from '../messages/outcome.js';
import type { CallOutcome, Refusal } from '../messages/outcome.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import { AttemptOutcome } from '../routing/router-contract.js';
import type { RouterContract, Target } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { assertInvariant } from '../shared/invariant-error.js';
import { AttemptRegistry } from './attempt-registry.js';
import type { Call, CallCommand, CallEngineContract, RetryBudgetUse } from './call-contract.js';
import { CallState } from './call-state.js';
import type { Attempt } from './call-state.js';
import { CallTimers } from './call-timers.js';
import { ServiceBudgets } from './service-budgets.js';

/**
 * Refusals after which a call is no longer sent on; more would multiply refusals during an
 * overload.
 */
const maximumRefusals = 3;
/** Retries and hedges of one call that use the budget, so that a single call can't exhaust it. */
const maximumBudgetedRetries = 2;
const hedgeQuantile = 0.95;
/** Shorter delays would send hedges because of the jitter of timers and network. */
const minimumHedgeDelayMilliseconds = 5;
const retryAfterNoUpstreamMilliseconds = 1_000;
const firstServerErrorStatus = 500;
/** Statuses that indicate a temporary failure of the upstream and no problem with the request. */
const retryableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);
/** A server error (5xx) about the request; it doesn't count as a failure of the upstream. */
const notImplementedStatus = 501;

/** Runs calls: manages their first attempts, retries, hedges and deadlines. */
export class CallEngine implements CallEngineContract {
  private readonly calls = new Map<number, CallState>();
  private readonly attempts: AttemptRegistry;
  private readonly budgets = new ServiceBudgets();
  private readonly timers = new CallTimers(
    (state) => this.calls.get(state.call.callNumber) === state,
  );

  /** Numbers attempts from `firstAttemptId`; numbers of an earlier incarnation must not be reused. */
  public constructor(
    private readonly router: RouterContract,
    firstAttemptId = 1,
  ) {
    this.attempts = new AttemptRegistry(router, firstAttemptId);
  }

  public retryBudgets(): readonly RetryBudgetUse[] {
    return this.budgets.usage();
  }

  public get callsInProgress(): number {
    return this.calls.size;
  }

  public get lateResults(): number {
    return this.attempts.lateResults;
  }

  public configure(configuration: ServiceConfiguration): void {
    this.budgets.configure(configuration);
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
    this.scheduleHedge(state, now);
    const commands: CallCommand[] = [];
    this.dispatchNext(state, undefined, now, commands);
    return commands;
  }

  public onAdmitted(attemptId: number): readonly CallCommand[] {
    const attempt = this.attempts.get(attemptId);
    // Calls with a streamed body are not hedged, so there is no other attempt to cancel.
    if (attempt?.call.call.isBodyReplayable === false) attempt.call.isBodyConsumed = true;
    return [];
  }

  public onRefused(attemptId: number, refusal: Refusal, now: ClockReading): readonly CallCommand[] {
    const attempt = this.attempts.complete(attemptId, AttemptOutcome.Refused, refusal.load, now);
    return attempt === undefined ? [] : this.handleNotStarted(attempt, refusal, now);
  }

  public onAnswered(
    attemptId: number,
    status: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[] {
    const isFault = status >= firstServerErrorStatus && status !== notImplementedStatus;
    const outcome = isFault ? AttemptOutcome.Failed : AttemptOutcome.Answered;
    const attempt = this.attempts.complete(attemptId, outcome, load, now);
    if (attempt === undefined) return [];
    const state = attempt.call;
    const commands: CallCommand[] = [];
    if (retryableStatuses.has(status) && this.awaitOrRetry(state, now, commands)) {
      state.possibleRunReason = UnknownReason.UpstreamFailed;
      return commands;
    }
    if (!isFault) this.budgets.getOrCreate(state.call.service).budget.onSuccess();
    this.conclude(state, { kind: 'answered', status }, attempt.attemptId, now, commands);
    return commands;
  }

  public onFailed(
    attemptId: number,
    load: LoadReport | undefined,
    now: ClockReading,
  ): readonly CallCommand[] {
    const attempt = this.attempts.complete(attemptId, AttemptOutcome.Failed, load, now);
    if (attempt === undefined) return [];
    const commands: CallCommand[] = [];
    this.handlePossiblyRun(attempt.call, UnknownReason.UpstreamFailed, now, commands);
    return commands;
  }

  public onNotSent(
    attemptId: number,
    isCongested: boolean,
    now: ClockReading,
  ): readonly CallCommand[] {
    // A full write buffer doesn't mean that the target is failing.
    const outcome = isCongested ? AttemptOutcome.Refused : AttemptOutcome.Unreachable;
    const attempt = this.attempts.complete(attemptId, outcome, undefined, now);
    if (attempt === undefined) return [];
    const reason = isCongested ? RefusalReason.PeerCongested : RefusalReason.PeerUnreachable;
    return this.handleNotStarted(attempt, { reason }, now);
  }

  public onPeerLost(server: string, now: ClockReading): readonly CallCommand[] {
    const commands: CallCommand[] = [];
    for (const attemptId of this.attempts.attemptIdsAt(server)) {
      const attempt = this.attempts.complete(attemptId, AttemptOutcome.Unreachable, undefined, now);
      if (attempt === undefined) continue;
      this.handlePossiblyRun(attempt.call, UnknownReason.ConnectionLost, now, commands);
    }
    return commands;
  }

  public onCallerDisconnected(callNumber: number, now: ClockReading): readonly CallCommand[] {
    const state = this.calls.get(callNumber);
    if (state === undefined) return [];
    const commands: CallCommand[] = [];
    this.cancelAttempts(state, now, commands);
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
        const outcome = outcomeUnknown(UnknownReason.DeadlineAfterStart);
        this.conclude(timer.state, outcome, undefined, now, commands);
      }
    }
    this.timers.compact(this.calls.size);
    return commands;
  }

  /** The attempt did not run, so requests of any class may be sent to another target. */
  private handleNotStarted(
    attempt: Attempt,
    refusal: Refusal,
    now: ClockReading,
  ): readonly CallCommand[] {
    const state = attempt.call;
    const commands: CallCommand[] = [];
    state.recordRefusal(refusal);
    if (state.liveAttempts.size === 0) {
      this.dispatchNext(state, RetryReason.RefusedElsewhere, now, commands);
    }
    return commands;
  }

  /** The attempt may have run and gave no answer, so only an idempotent call may be retried. */
  private handlePossiblyRun(
    state: CallState,
    reason: UnknownReason,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    state.possibleRunReason = reason;
    if (this.awaitOrRetry(state, now, commands)) return;
    this.conclude(state, outcomeUnknown(reason), undefined, now, commands);
  }

  /**
   * Waits for another attempt in progress, or starts one within the retry budget. Returns false if
   * neither is possible.
   */
  private awaitOrRetry(state: CallState, now: ClockReading, commands: CallCommand[]): boolean {
    if (state.call.requestClass !== RequestClass.Idempotent) return false;
    if (state.liveAttempts.size > 0) return true;
    return this.retryWithinBudget(state, RetryReason.AttemptFailed, now, commands);
  }

  private retryWithinBudget(
    state: CallState,
    reason: RetryReason,
    now: ClockReading,
    commands: CallCommand[],
  ): boolean {
    const { budget } = this.budgets.getOrCreate(state.call.service);
    const isPossible =
      budget.hasToken && state.budgetedRetries < maximumBudgetedRetries && !state.isBodyConsumed;
    if (!isPossible || state.call.deadline <= now.monotonic) return false;
    // A call that has already failed or been slow should not become a trial request as well.
    const target = this.router.choose(state.call.service, state.triedServers, now, true);
    if (target === undefined) return false;
    budget.spend();
    state.budgetedRetries += 1;
    this.dispatch(state, target, reason, now, commands);
    return true;
  }

  /** Sends the call to the next target, or concludes it at once if there is none. */
  private dispatchNext(
    state: CallState,
    reason: RetryReason | undefined,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    const mayTry = state.refusals < maximumRefusals && !state.isBodyConsumed;
    const target =
      mayTry && state.call.deadline > now.monotonic ? this.chooseTarget(state, now) : undefined;
    if (target !== undefined) {
      this.dispatch(state, target, reason, now, commands);
      return;
    }
    const outcome =
      state.possibleRunReason === undefined
        ? state.finalRefusal(retryAfterNoUpstreamMilliseconds)
        : outcomeUnknown(state.possibleRunReason);
    this.conclude(state, outcome, undefined, now, commands);
  }

  private chooseTarget(state: CallState, now: ClockReading): Target | undefined {
    const { preferredServer, requestClass, service } = state.call;
    const preferred =
      preferredServer === undefined || state.triedServers.has(preferredServer)
        ? undefined
        : this.router.chooseServer(service, preferredServer, now);
    const avoidTrial = requestClass === RequestClass.NonIdempotent;
    return preferred ?? this.router.choose(service, state.triedServers, now, avoidTrial);
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

  private scheduleHedge(state: CallState, now: ClockReading): void {
    const { isBodyReplayable, deadline, requestClass, service } = state.call;
    if (requestClass !== RequestClass.Idempotent || !isBodyReplayable) return;
    if (!this.budgets.getOrCreate(service).hedging) return;
    const latency = this.router.latencyQuantile(service, hedgeQuantile);
    if (latency === undefined) return;
    const time = now.monotonic + Math.max(minimumHedgeDelayMilliseconds, latency);
    if (time < deadline) this.timers.add(time, 'hedge', state);
  }

  private hedge(state: CallState, now: ClockReading, commands: CallCommand[]): void {
    if (state.isHedged || state.liveAttempts.size !== 1) return;
    state.isHedged = this.retryWithinBudget(state, RetryReason.Hedge, now, commands);
  }

  private conclude(
    state: CallState,
    outcome: CallOutcome,
    attemptId: number | undefined,
    now: ClockReading,
    commands: CallCommand[],
  ): void {
    this.cancelAttempts(state, now, commands);
    this.calls.delete(state.call.callNumber);
    commands.push({ attemptId, callNumber: state.call.callNumber, kind: 'conclude', outcome });
  }

  private cancelAttempts(state: CallState, now: ClockReading, commands: CallCommand[]): void {
    for (const attempt of [...state.liveAttempts]) {
      this.attempts.cancel(attempt, now);
      const { attemptId, target } = attempt;
      commands.push({ attemptId, kind: 'cancel-attempt', target });
    }
  }
}

function outcomeUnknown(reason: UnknownReason): CallOutcome {
  return { attemptStarted: true, kind: 'outcome-unknown', reason };
}
