import { assertInvariant, MinimumHeap } from '@peridotspring/core';
import type { RandomSource } from '@peridotspring/core';

import type { RepeatBudget } from '../budget/repeat-budget.js';
import { DeclineReason } from '../messages/mesh-frames.js';
import type {
  AnsweredFrame,
  DeclinedFrame,
  FailedFrame,
  GateLoad,
  ReplyFrame,
  StartFrame,
} from '../messages/mesh-frames.js';
import type { CompletionPolicy, PlacedGate, Placement } from '../placement/completion-policy.js';
import type { GateView, TargetBook } from '../placement/target-book.js';
import { EntryEventName, RefusalCause, UnknownCause } from './entry-contract.js';
import type { EntryEvent, EntryOutcome, EntryPort, EntryRequest } from './entry-contract.js';
import { isHedgeDue } from './hedge-rule.js';
import { RequestState } from './request-state.js';
import type { Attempt } from './request-state.js';
import { RouteSizes } from './route-sizes.js';
import { TimeLimits } from './time-limits.js';

/** Gates that may decline before the best of them has to take the request. */
const maximumOptionalTries = 2;
/** Time that a request waits at a gate that is busy or in a slow moment, for a first estimate. */
const busyMilliseconds = 80;
/** Gates that may decline for good before the request is refused. */
const maximumDeclines = 4;
/** A request with less time left is not sent again. */
const shortestUsefulMilliseconds = 15;
/** Time after which an idempotent request goes elsewhere when the connection to its gate was lost. */
const lostConnectionMilliseconds = 100;
const shortestRetryAfterMilliseconds = 50;
const longestRetryAfterMilliseconds = 1_000;

export interface RequestForwarderOptions {
  readonly port: EntryPort;
  readonly targets: TargetBook;
  readonly policy: CompletionPolicy;
  readonly budget: RepeatBudget;
  readonly random: RandomSource;
  readonly callerService: string;
  readonly log: (event: EntryEvent) => void;
}

/**
 * Brings each request to a gate and its answer back to the caller. A request that a gate declined has
 * not run and may go to another; one that may have run goes to a second server only if it is
 * idempotent and within the budget.
 */
export class RequestForwarder {
  private readonly requests = new Map<number, RequestState>();
  private readonly attempts = new Map<number, Attempt>();
  private readonly deadlines = new MinimumHeap<RequestState>();
  private readonly sizes = new RouteSizes();
  private readonly limits = new TimeLimits();
  private nextCallId = 1;
  private configurationVersion = 0;

  public constructor(private readonly options: RequestForwarderOptions) {}

  public get inProgress(): number {
    return this.requests.size;
  }

  public begin(request: EntryRequest, service: string, nested: boolean, now: number): void {
    assertInvariant(!this.requests.has(request.requestNumber), 'request numbers are unique');
    const timeoutAt = request.receivedAt + request.route.timeoutMilliseconds;
    const deadline = Math.min(request.callerDeadline, timeoutAt);
    const state = new RequestState(
      request,
      service,
      deadline,
      nested,
      this.configurationVersion,
      nested ? 0 : this.spentBefore(request),
    );
    this.requests.set(request.requestNumber, state);
    this.deadlines.push(deadline, state);
    // The bound on repeats is relative to the requests of callers, so calls of servers earn none.
    if (!nested) this.options.budget.request(service, now);
    this.tryNext(state, now);
  }

  /** Another configuration is in force; routes that it does not declare are forgotten. */
  public configured(routeNames: ReadonlySet<string>, version: number): void {
    this.configurationVersion = version;
    this.sizes.retain(routeNames);
    this.limits.retain(routeNames);
  }

  /** A gate answers. */
  public reply(node: string, frame: ReplyFrame, now: number): void {
    this.options.targets.reported(node, frame.load, now);
    const attempt = this.attempts.get(frame.callId);
    if (attempt?.node !== node) return;
    this.endAttempt(attempt);
    switch (frame.kind) {
      case 'answered':
        this.answered(attempt, frame, now);
        return;
      case 'declined':
        this.declined(attempt, frame, now);
        return;
      case 'failed':
        this.failed(attempt, frame, now);
    }
  }

  /** The caller went away. */
  public abandon(requestNumber: number, now: number): void {
    const state = this.requests.get(requestNumber);
    if (state === undefined) return;
    this.log(EntryEventName.RequestAbandoned, state, {
      attempts: state.attempts.size,
      milliseconds: Math.round(now - state.request.receivedAt),
    });
    this.remove(state);
  }

  /** The connection to a node was lost; what was sent on it may or may not have arrived. */
  public connectionLost(node: string, now: number): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.node === node) attempt.lostAt ??= now;
    }
  }

  /**
   * A node is connected again. The same life of its process gets the frames once more and recognizes
   * those that it has; an earlier life took its requests with it.
   */
  public connectionRestored(node: string, boot: number, now: number): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.node !== node) continue;
      if (attempt.boot === boot) {
        attempt.lostAt = undefined;
        this.options.port.send(node, this.startFrame(attempt, now));
      } else this.gateEnded(attempt, now);
    }
  }

  /** The process of a node has ended. */
  public nodeEnded(node: string, now: number): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.node === node) this.gateEnded(attempt, now);
    }
  }

  /** When the next request has to be answered at the latest; Infinity without one. */
  public get nextDeadline(): number {
    return this.deadlines.peekTime() ?? Infinity;
  }

  public tick(now: number): void {
    for (;;) {
      const due = this.deadlines.popDue(now);
      if (due === undefined) break;
      if (!due.isConcluded) this.expire(due, now);
    }
    for (const attempt of [...this.attempts.values()]) {
      if (!attempt.state.request.route.idempotent || attempt.state.attempts.size > 1) continue;
      if (this.isOverdue(attempt, now)) this.repeat(attempt.state, 'hedge', now);
    }
  }

  private isOverdue(attempt: Attempt, now: number): boolean {
    if (attempt.lostAt !== undefined) return now - attempt.lostAt > lostConnectionMilliseconds;
    const view = this.options.targets.get(attempt.node);
    if (view === undefined) return false;
    const targetIn = attempt.state.targetAt - now;
    return isHedgeDue(view, now - attempt.sentAt, targetIn, now);
  }

  private answered(attempt: Attempt, frame: AnsweredFrame, now: number): void {
    const { state } = attempt;
    const { body, headers, status } = frame;
    const bytes = body.length + (state.request.body?.length ?? 0);
    this.sizes.add(state.request.route.name, bytes);
    const isServerError = status >= 500;
    if (isServerError && state.request.route.idempotent) {
      if (state.attempts.size > 0 || this.repeat(state, 'server-error', now)) return;
    }
    this.conclude(state, { body, headers, kind: 'answered', status }, attempt.node, now);
  }

  private declined(attempt: Attempt, frame: DeclinedFrame, now: number): void {
    const { state } = attempt;
    const hasReachedServer = frame.reason === DeclineReason.ServerRefused;
    state.used.delete(attempt.node);
    state.reachedServer ||= hasReachedServer;
    if (attempt.repeat && !hasReachedServer) this.options.budget.refund(state.service, now);
    state.decline(attempt.node, frame);
    this.log(EntryEventName.RequestMoved, state, {
      expected: Math.round(frame.expectedMilliseconds),
      gate: attempt.node,
      reason: frame.reason,
      ...occupancyOf(frame.load),
    });
    if (state.attempts.size > 0) return;
    if (state.used.size > 0) {
      // An earlier attempt may have run, so a refusal would not be true.
      if (!this.repeat(state, 'declined', now)) this.giveUp(state, now);
    } else if (state.reachedServer) {
      // The next server gets a second arrival of the request, which the budget has to cover.
      if (!this.repeat(state, 'server-refused', now)) this.refuse(state, now);
    } else this.tryNext(state, now);
  }

  private failed(attempt: Attempt, frame: FailedFrame, now: number): void {
    const { state } = attempt;
    this.log(EntryEventName.AttemptFailed, state, { detail: frame.detail, gate: attempt.node });
    this.mayHaveRun(state, now);
  }

  private gateEnded(attempt: Attempt, now: number): void {
    this.endAttempt(attempt);
    this.log(EntryEventName.AttemptFailed, attempt.state, {
      detail: 'the gate ended',
      gate: attempt.node,
    });
    this.mayHaveRun(attempt.state, now);
  }

  private mayHaveRun(state: RequestState, now: number): void {
    if (state.attempts.size > 0) return;
    if (state.request.route.idempotent && this.repeat(state, 'failed', now)) return;
    this.giveUp(state, now);
  }

  /** Sends a request to a second server; false if that is not possible. */
  private repeat(state: RequestState, cause: string, now: number): boolean {
    const { budget } = this.options;
    const denied = this.repeatDenial(state, now);
    const placed = denied === undefined ? this.place(state, now) : undefined;
    if (placed === undefined) return this.denyRepeat(state, cause, denied ?? 'no-gate');
    if (!budget.take(state.service, now)) return this.denyRepeat(state, cause, 'budget');
    const gate = placed.view.node.name;
    this.log(EntryEventName.RequestRepeated, state, { gate, reason: cause });
    const isHedge = state.attempts.size > 0;
    if (this.dispatch(state, placed.view, isHedge, true, now)) return true;
    budget.refund(state.service, now);
    return this.denyRepeat(state, cause, 'not-connected');
  }

  private repeatDenial(state: RequestState, now: number): string | undefined {
    if (state.used.size >= state.request.route.maximumAttempts) return 'attempts';
    if (state.deadline - now < shortestUsefulMilliseconds) return 'deadline';
    return state.declined.size > maximumDeclines ? 'declines' : undefined;
  }

  /** A hedge is tried at each tick, so its denial is told once. */
  private denyRepeat(state: RequestState, cause: string, reason: string): false {
    if (state.lastDenial === reason) return false;
    state.lastDenial = reason;
    this.log(EntryEventName.RequestNotRepeated, state, { cause, reason });
    return false;
  }

  /**
   * Asks the gate that costs least. While another gate would cost less than this one if it turned out
   * to be busy, it may decline, since it knows its load better than this node does; after that the
   * best of them is told to take the request.
   */
  private tryNext(state: RequestState, now: number): void {
    while (state.hardDeclines < maximumDeclines) {
      if (state.deadline - now < shortestUsefulMilliseconds) break;
      const placed = this.place(state, now);
      const busy = this.leastBusy(state, now);
      if (placed !== undefined && placed.cost < (busy?.cost ?? Infinity)) {
        const alternative = Math.min(placed.nextCost, busy?.cost ?? Infinity);
        const mayDecline = state.optionalTries < maximumOptionalTries;
        const isOptional = mayDecline && alternative < this.costIfBusy(placed.view, state, now);
        if (this.dispatch(state, placed.view, isOptional, false, now)) return;
        state.unreachable(placed.view.node.name);
        continue;
      }
      if (busy === undefined) break;
      const { name } = busy.view.node;
      state.declined.delete(name);
      if (busy.view.isConnected && this.dispatch(state, busy.view, false, false, now)) return;
      state.unreachable(name);
    }
    this.refuse(state, now);
  }

  /** The gate that declined as busy and costs least all the same. */
  private leastBusy(
    state: RequestState,
    now: number,
  ): Pick<PlacedGate, 'cost' | 'view'> | undefined {
    let least: Pick<PlacedGate, 'cost' | 'view'> | undefined;
    for (const [name, expected] of state.declined) {
      const view = this.options.targets.get(name);
      if (view === undefined || expected === Infinity) continue;
      const cost = this.options.policy.cost(view, expected, this.placementOf(state, now));
      if (cost < (least?.cost ?? Infinity)) least = { cost, view };
    }
    return least;
  }

  private costIfBusy(view: GateView, state: RequestState, now: number): number {
    const expected = view.load.serviceMilliseconds + busyMilliseconds;
    return this.options.policy.cost(view, expected, this.placementOf(state, now));
  }

  private place(state: RequestState, now: number): PlacedGate | undefined {
    const { policy, targets } = this.options;
    return policy.choose(targets.ready(state.service), this.placementOf(state, now));
  }

  private placementOf(state: RequestState, now: number): Placement {
    return {
      excluded: state.excluded,
      kilobytes: this.sizes.kilobytes(state.request.route.name),
      now,
      targetMilliseconds: state.targetAt - now,
    };
  }

  private dispatch(
    state: RequestState,
    view: GateView,
    optional: boolean,
    repeat: boolean,
    now: number,
  ): boolean {
    const { node } = view;
    const attempt: Attempt = {
      boot: node.boot,
      callId: this.nextCallId,
      lostAt: undefined,
      node: node.name,
      optional,
      repeat,
      sentAt: now,
      state,
    };
    this.nextCallId += 1;
    if (optional) state.optionalTries += 1;
    state.attempts.set(attempt.callId, attempt);
    state.used.add(node.name);
    this.attempts.set(attempt.callId, attempt);
    this.options.targets.sent(node.name);
    const isSent = this.options.port.send(node.name, this.startFrame(attempt, now));
    this.logPlaced(state, view, optional, isSent, now);
    if (isSent) return true;
    this.endAttempt(attempt);
    state.used.delete(node.name);
    return false;
  }

  /** What this node knew of a gate when it asked it. */
  private logPlaced(
    state: RequestState,
    { load, loadAt, node }: GateView,
    optional: boolean,
    isSent: boolean,
    now: number,
  ): void {
    this.log(EntryEventName.RequestPlaced, state, {
      at: Math.round(now - state.request.receivedAt),
      failures: Math.round(load.failureShare * 100) / 100,
      gate: node.name,
      loadAge: Math.round(now - loadAt),
      optional,
      running: load.running,
      sent: isSent,
      slowdown: load.slowdown,
      wait: Math.round(load.waitMilliseconds),
      waiting: load.waiting,
    });
  }

  private startFrame(attempt: Attempt, now: number): StartFrame {
    const { callId, optional, repeat, state } = attempt;
    const { body, headers, method, path, requestId, route } = state.request;
    return {
      body,
      callId,
      callerService: this.options.callerService,
      headers,
      idempotent: route.idempotent,
      kind: 'start',
      method,
      nested: state.nested,
      optional,
      path,
      priority: route.priority,
      remainingMilliseconds: state.deadline - now,
      repeat,
      requestId,
      routeName: route.name,
      service: state.service,
      targetMilliseconds: state.targetAt - now,
    };
  }

  private spentBefore({ callerDeadline, receivedAt, route }: EntryRequest): number {
    const given = callerDeadline - receivedAt;
    return Number.isFinite(given) ? this.limits.spentBefore(route.name, given) : 0;
  }

  private expire(state: RequestState, now: number): void {
    if (state.used.size === 0) this.refuse(state, now);
    else this.conclude(state, { cause: UnknownCause.Timeout, kind: 'unknown' }, undefined, now);
  }

  private giveUp(state: RequestState, now: number): void {
    this.conclude(state, { cause: UnknownCause.AttemptFailed, kind: 'unknown' }, undefined, now);
  }

  private refuse(state: RequestState, now: number): void {
    const cause = causeOf(state, now);
    // The random part spreads the return of callers that were refused together.
    const wait = Math.min(
      longestRetryAfterMilliseconds,
      Math.max(shortestRetryAfterMilliseconds, state.shortestWait / 2),
    );
    const retryAfterMilliseconds = wait * (1 + this.options.random.next());
    this.conclude(state, { cause, kind: 'refused', retryAfterMilliseconds }, undefined, now);
  }

  private conclude(
    state: RequestState,
    outcome: EntryOutcome,
    node: string | undefined,
    now: number,
  ): void {
    const { receivedAt, route } = state.request;
    this.log(EntryEventName.RequestConcluded, state, {
      configuration: state.configurationVersion,
      declined: state.hardDeclines + state.optionalTries,
      gate: node ?? 'none',
      late: now > state.targetAt,
      milliseconds: Math.round(now - receivedAt),
      nested: state.nested,
      outcome: outcome.kind,
      route: route.name,
      service: state.service,
      ...(state.spentBefore > 0 && { spentBefore: Math.round(state.spentBefore) }),
      ...(outcome.kind === 'answered' ? { status: outcome.status } : { cause: outcome.cause }),
      ...(outcome.kind !== 'answered' && lastDeclineFields(state)),
    });
    this.remove(state);
    this.options.port.respond(state.request, outcome);
  }

  private remove(state: RequestState): void {
    state.isConcluded = true;
    for (const attempt of [...state.attempts.values()]) {
      this.endAttempt(attempt);
      this.options.port.send(attempt.node, { callId: attempt.callId, kind: 'cancel' });
    }
    this.requests.delete(state.request.requestNumber);
  }

  private endAttempt(attempt: Attempt): void {
    this.attempts.delete(attempt.callId);
    attempt.state.attempts.delete(attempt.callId);
  }

  private log(event: EntryEvent['event'], state: RequestState, fields: EntryEvent['fields']): void {
    this.options.log({ event, fields: { request: state.request.requestId, ...fields } });
  }
}

/** How full a gate is, for the log. */
function occupancyOf({ limit, running, waiting }: GateLoad): EntryEvent['fields'] {
  return { limit, running, waiting };
}

/** What the last gate that declined said; under load it is the only line of the request. */
function lastDeclineFields({ lastDecline }: RequestState): EntryEvent['fields'] {
  if (lastDecline === undefined) return {};
  const { frame, node } = lastDecline;
  return { lastDecline: frame.reason, lastGate: node, ...occupancyOf(frame.load) };
}

function causeOf(state: RequestState, now: number): RefusalCause {
  if (state.deadline - now < shortestUsefulMilliseconds) return RefusalCause.DeadlineTooShort;
  return state.isOverloaded ? RefusalCause.Overloaded : RefusalCause.NoServer;
}
