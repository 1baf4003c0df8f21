import { assertInvariant, MinimumHeap } from '@peridotspring/core';
import type { RandomSource } from '@peridotspring/core';

import { ReturnTimes } from '../admission/return-times.js';
import { findAnswerFault } from '../answers/response-rules.js';
import type { RetryBudget } from '../budget/retry-budget.js';
import { DeclineReason } from '../messages/mesh-frames.js';
import type {
  AnsweredFrame,
  DeclinedFrame,
  ReplyFrame,
  StartFrame,
} from '../messages/mesh-frames.js';
import type {
  PlacementPolicy,
  GateChoice,
  PlacementContext,
} from '../placement/placement-policy.js';
import type { GateView, GateTable } from '../placement/gate-table.js';
import type { RequestScreening, RequestSuspicion } from '../quarantine/request-quarantine.js';
import { minimumRemainingMilliseconds, refusalCauseOf } from './refusal-cause.js';
import { EntryEventName, RefusalCause, UnknownCause } from './entry-contract.js';
import type { EntryEvent, EntryOutcome, EntryPort, EntryRequest } from './entry-contract.js';
import { EntryLog, occupancyFields } from './entry-log.js';
import { isHedgeDue } from './hedge-rule.js';
import { RequestState } from './request-state.js';
import type { Attempt } from './request-state.js';
import { RouteSizes } from './route-sizes.js';
import { tenantFields } from './tenant-fields.js';
import { StopAdmission, stoppingRetryAfterMilliseconds } from './stop-admission.js';
import type { StopSchedule } from './stop-admission.js';
import { CallerTimeLimits } from './caller-time-limits.js';

/** Number of attempts in which the gate may decline as busy; after them, the best gate must accept the request. */
const maximumOptionalAttempts = 2;
/**
 * Number of gates that may finally decline, or be unreachable, before the request is refused. No retry is made once
 * more gates than this have declined.
 */
const maximumDeclines = 4;
/** Time after which an idempotent request whose gate is disconnected is also sent to another gate. */
const lostConnectionTimeoutMilliseconds = 100;
/** Time after which a quarantined request may return if its gate did not tell how long it is quarantined. */
const unknownQuarantineMilliseconds = 1_000;

export interface RequestForwarderOptions {
  readonly port: EntryPort;
  readonly gates: GateTable;
  readonly placementPolicy: PlacementPolicy;
  readonly quarantine: RequestScreening;
  readonly retryBudget: RetryBudget;
  readonly random: RandomSource;
  /** Time for which the keys of callers may still be acted on; infinite without a limit. */
  readonly keyValidMilliseconds: () => number;
  readonly callerService: string;
  readonly log: (event: EntryEvent) => void;
}

/**
 * Forwards each request to a gate and returns the answer to the caller. A request that a gate declined has
 * not run and may be sent to another gate. A request that may have run is sent to a second server only if
 * it is idempotent and the retry budget permits it.
 */
export class RequestForwarder {
  private readonly requests = new Map<number, RequestState>();
  private readonly attempts = new Map<number, Attempt>();
  private readonly deadlines = new MinimumHeap<RequestState>();
  private readonly routeSizes = new RouteSizes();
  private readonly stopAdmission = new StopAdmission();
  private readonly callerTimeLimits = new CallerTimeLimits();
  private nextCallId = 1;
  private configurationVersion = 0;

  private readonly log: EntryLog;
  private readonly returnTimes: ReturnTimes;

  public constructor(private readonly options: RequestForwarderOptions) {
    this.log = new EntryLog(options.log);
    this.returnTimes = new ReturnTimes(options.random);
  }

  public get inProgressCount(): number {
    return this.requests.size;
  }

  public forward(request: EntryRequest, service: string, isNested: boolean, now: number): void {
    assertInvariant(!this.requests.has(request.requestNumber), 'request numbers are unique');
    const timeoutAt = request.receivedAt + request.route.timeoutMilliseconds;
    const { outcomesDueAt } = this.stopAdmission;
    const deadline = Math.min(request.callerDeadline, timeoutAt, outcomesDueAt);
    const state = new RequestState(
      request,
      service,
      deadline,
      isNested,
      this.configurationVersion,
      isNested ? 0 : this.estimateMillisecondsSpentBefore(request),
    );
    this.requests.set(request.requestNumber, state);
    this.deadlines.push(deadline, state);
    // The retry budget is relative to the requests of callers, so nested calls of servers do not add to it.
    if (!isNested) this.options.retryBudget.recordRequest(service, request.route.idempotent, now);
    if (this.stopAdmission.mayOutlastProcess(request, now)) this.refuseAsStopping(state, now);
    else this.tryNextGate(state, now);
  }

  /** Bounds the time of all requests by the end of the process. */
  public stop(schedule: StopSchedule): void {
    this.stopAdmission.stop(schedule);
    for (const state of this.requests.values()) {
      if (state.deadline <= schedule.outcomesDueAt) continue;
      state.deadline = schedule.outcomesDueAt;
      this.deadlines.push(state.deadline, state);
    }
  }

  /** Handles a change of the configuration in force, and removes the state of routes that it does not declare. */
  public onConfigurationChange(routeNames: ReadonlySet<string>, version: number): void {
    this.configurationVersion = version;
    this.routeSizes.retain(routeNames);
    this.options.placementPolicy.retainRoutes(routeNames);
    this.stopAdmission.retain(routeNames);
    this.callerTimeLimits.retain(routeNames);
  }

  /** Handles the reply of a gate to an attempt. */
  public onReply(nodeName: string, frame: ReplyFrame, now: number): void {
    const { gates, placementPolicy } = this.options;
    const view = gates.onLoadReported(nodeName, frame.load, now);
    const attempt = this.attempts.get(frame.callId);
    if (attempt?.nodeName !== nodeName) return;
    if (view !== undefined)
      placementPolicy.recordReply(view, attempt.state.request.route.name, now);
    this.endAttempt(attempt);
    switch (frame.kind) {
      case 'answered': {
        // The gate has checked the response too, unless it runs an older version.
        const { idempotent } = attempt.state.request.route;
        const fault = findAnswerFault(frame.status, idempotent);
        if (fault === undefined) this.onAnswered(attempt, frame, now);
        else this.onFailed(attempt, fault, now);
        return;
      }
      case 'declined':
        this.onDeclined(attempt, frame, now);
        return;
      case 'failed':
        this.onFailed(attempt, frame.detail, now);
    }
  }

  /** Fails the attempt whose reply could not be handled. */
  public onReplyError(nodeName: string, callId: number, now: number): void {
    const attempt = this.attempts.get(callId);
    if (attempt?.nodeName !== nodeName) return;
    this.endAttempt(attempt);
    this.onFailed(attempt, 'reply could not be handled', now);
  }

  /** Cancels the attempts of a request whose caller has closed its connection. */
  public onCallerDisconnected(requestNumber: number, now: number): void {
    const state = this.requests.get(requestNumber);
    if (state === undefined) return;
    this.log.write(EntryEventName.RequestAbandoned, state, {
      attempts: state.attempts.size,
      milliseconds: Math.round(now - state.request.receivedAt),
    });
    this.remove(state);
  }

  /** Marks the attempts at a node whose connection was lost or may be; their frames may or may not have arrived. */
  public onConnectionLost(nodeName: string, now: number): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.nodeName !== nodeName || attempt.connectionLostAt !== undefined) continue;
      attempt.connectionLostAt = now;
      this.log.attempt(EntryEventName.AttemptUnconfirmed, attempt, now);
    }
  }

  /** Handles an answer that arrived on a connection which was taken for lost. */
  public onConnectionConfirmed(nodeName: string): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.nodeName === nodeName) attempt.connectionLostAt = undefined;
    }
  }

  /**
   * Handles a restored connection to a node. If its `boot` is unchanged, its process has kept running: the start
   * frames are sent again, and the node ignores those that it has already received. Otherwise the process has been
   * restarted, and the attempts at the node ended with the previous process.
   */
  public onConnectionRestored(nodeName: string, boot: number, now: number): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.nodeName !== nodeName) continue;
      if (attempt.boot === boot) {
        attempt.connectionLostAt = undefined;
        this.log.attempt(EntryEventName.AttemptSentAgain, attempt, now);
        this.options.port.send(nodeName, this.createStartFrame(attempt, now));
      } else this.onGateEnded(attempt, now);
    }
  }

  /** Ends the attempts at a node whose process has ended. */
  public onNodeEnded(nodeName: string, now: number): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.nodeName === nodeName) this.onGateEnded(attempt, now);
    }
  }

  /** The earliest scheduled deadline; Infinity if there is none. The deadline of a concluded request stays until it passes. */
  public get nextDeadline(): number {
    return this.deadlines.peekTime() ?? Infinity;
  }

  public tick(now: number): void {
    this.returnTimes.tick(now);
    for (;;) {
      const dueRequest = this.deadlines.popDue(now);
      if (dueRequest === undefined) break;
      if (!dueRequest.isConcluded) this.expire(dueRequest, now);
    }
    for (const attempt of [...this.attempts.values()]) {
      if (!attempt.state.request.route.idempotent || attempt.state.attempts.size > 1) continue;
      if (!this.isOverdue(attempt, now)) continue;
      // Two servers must not run a request at the same time that may have crashed others.
      if (this.suspicionOf(attempt.state, now).isIsolated) continue;
      this.retry(attempt.state, 'hedge', now);
    }
  }

  private isOverdue(attempt: Attempt, now: number): boolean {
    const lostFor = now - (attempt.connectionLostAt ?? now);
    if (lostFor > lostConnectionTimeoutMilliseconds) return true;
    const view = this.options.gates.get(attempt.nodeName);
    if (view === undefined) return false;
    const { request, targetDeadline } = attempt.state;
    const { placementPolicy } = this.options;
    const expected = placementPolicy.longestServiceMilliseconds(view, request.route.name, now);
    return isHedgeDue(view, expected, now - attempt.sentAt, targetDeadline - now, now);
  }

  private onAnswered(attempt: Attempt, frame: AnsweredFrame, now: number): void {
    const { state } = attempt;
    const { body, headers, status } = frame;
    const transferredBytes = body.length + (state.request.body?.length ?? 0);
    this.routeSizes.addSample(state.request.route.name, transferredBytes);
    this.stopAdmission.recordAnswer(state.request, now);
    const isServerError = status >= 500;
    if (isServerError && state.request.route.idempotent) {
      if (state.attempts.size > 0 || this.retry(state, 'server-error', now)) return;
    }
    this.conclude(state, { body, headers, kind: 'answered', status }, attempt.nodeName, now);
  }

  private onDeclined(attempt: Attempt, frame: DeclinedFrame, now: number): void {
    const { state } = attempt;
    const isServerRefusal = frame.reason === DeclineReason.ServerRefused;
    state.usedNodes.delete(attempt.nodeName);
    state.hasServerRefusal ||= isServerRefusal;
    if (attempt.isRetry && !isServerRefusal) this.options.retryBudget.refund(state.service, now);
    state.recordDecline(attempt.nodeName, frame);
    this.log.write(EntryEventName.RequestMoved, state, {
      expected: Math.round(frame.expectedMilliseconds),
      gate: attempt.nodeName,
      reason: frame.reason,
      ...occupancyFields(frame.load),
    });
    if (state.attempts.size > 0) return;
    if (state.usedNodes.size > 0) {
      // An earlier attempt may have run, so the request must not be reported as refused.
      if (!this.retry(state, 'declined', now)) this.giveUp(state, now);
    } else if (state.hasServerRefusal) {
      // The request would arrive at a second server, which counts against the retry budget.
      if (!this.retry(state, 'server-refused', now)) this.refuse(state, now);
    } else this.tryNextGate(state, now);
  }

  private onFailed(attempt: Attempt, detail: string, now: number): void {
    const { state } = attempt;
    this.log.write(EntryEventName.AttemptFailed, state, { detail, gate: attempt.nodeName });
    this.retryOrGiveUp(state, now);
  }

  private onGateEnded(attempt: Attempt, now: number): void {
    this.endAttempt(attempt);
    this.log.write(EntryEventName.AttemptFailed, attempt.state, {
      detail: "the gate's process ended",
      gate: attempt.nodeName,
    });
    this.retryOrGiveUp(attempt.state, now);
  }

  private retryOrGiveUp(state: RequestState, now: number): void {
    if (state.attempts.size > 0) return;
    if (state.request.route.idempotent && this.retry(state, 'failed', now)) return;
    this.giveUp(state, now);
  }

  /** Sends a request to a second server, as a retry or a hedge. Returns false if that is not possible. */
  private retry(state: RequestState, cause: string, now: number): boolean {
    const { retryBudget } = this.options;
    const denial = this.findRetryDenial(state, now);
    const choice = denial === undefined ? this.chooseGate(state, now) : undefined;
    if (choice === undefined) return this.denyRetry(state, cause, denial ?? 'no-gate');
    const isHedge = state.attempts.size > 0;
    if (!retryBudget.tryTake(state.service, now, isHedge && state.isNested))
      return this.denyRetry(state, cause, 'budget');
    const gate = choice.view.node.name;
    this.log.write(EntryEventName.RequestRepeated, state, { gate, reason: cause });
    if (this.dispatch(state, choice.view, isHedge, true, now)) return true;
    retryBudget.refund(state.service, now);
    return this.denyRetry(state, cause, 'not-connected');
  }

  private findRetryDenial(state: RequestState, now: number): string | undefined {
    if (this.isQuarantined(state, now)) return 'quarantined';
    if (this.isKeyUnproven(state)) return RefusalCause.KeyUnproven;
    if (state.usedNodes.size >= state.request.route.maximumAttempts) return 'attempts';
    if (state.deadline - now < minimumRemainingMilliseconds) return 'deadline';
    return state.expectedMillisecondsByDecliningNode.size > maximumDeclines
      ? 'declines'
      : undefined;
  }

  /** Logs why there is no retry. Hedging is tried at each tick, so the same reason is logged only once in a row. */
  private denyRetry(state: RequestState, cause: string, reason: string): false {
    if (state.lastRetryDenialReason === reason) return false;
    state.lastRetryDenialReason = reason;
    this.log.write(EntryEventName.RequestNotRepeated, state, { cause, reason });
    return false;
  }

  /**
   * Sends the request to the gate with the lowest expected cost. The gate may decline as busy, because it
   * knows its own load better than this node does, as long as another gate would then cost less. After
   * `maximumOptionalAttempts` such attempts, the cheapest gate must accept the request.
   */
  private tryNextGate(state: RequestState, now: number): void {
    while (state.finalDeclineCount < maximumDeclines) {
      if (this.isQuarantined(state, now) || this.isKeyUnproven(state)) break;
      if (state.deadline - now < minimumRemainingMilliseconds) break;
      const choice = this.chooseGate(state, now);
      const busy = this.cheapestBusyGate(state, now);
      if (choice !== undefined && choice.cost < (busy?.cost ?? Infinity)) {
        const alternativeCost = Math.min(choice.nextBestCost, busy?.cost ?? Infinity);
        const hasOptionalAttemptsLeft = state.optionalAttemptCount < maximumOptionalAttempts;
        const context = this.placementContextOf(state, now);
        const costIfBusy = this.options.placementPolicy.costIfBusy(choice.view, context);
        const isOptional = hasOptionalAttemptsLeft && alternativeCost < costIfBusy;
        if (this.dispatch(state, choice.view, isOptional, false, now)) return;
        state.recordUnreachable(choice.view.node.name);
        continue;
      }
      if (busy === undefined) break;
      const { name } = busy.view.node;
      state.expectedMillisecondsByDecliningNode.delete(name);
      if (busy.view.isConnected && this.dispatch(state, busy.view, false, false, now)) return;
      state.recordUnreachable(name);
    }
    this.refuse(state, now);
  }

  /** The cheapest of the gates that declined as busy. */
  private cheapestBusyGate(
    state: RequestState,
    now: number,
  ): Pick<GateChoice, 'cost' | 'view'> | undefined {
    let cheapest: Pick<GateChoice, 'cost' | 'view'> | undefined;
    for (const [nodeName, expectedMilliseconds] of state.expectedMillisecondsByDecliningNode) {
      const view = this.options.gates.get(nodeName);
      if (view === undefined || expectedMilliseconds === Infinity) continue;
      const cost = this.options.placementPolicy.costOf(
        view,
        expectedMilliseconds,
        this.placementContextOf(state, now),
      );
      if (cost < (cheapest?.cost ?? Infinity)) cheapest = { cost, view };
    }
    return cheapest;
  }

  private chooseGate(state: RequestState, now: number): GateChoice | undefined {
    const { placementPolicy, gates } = this.options;
    return placementPolicy.choose(
      gates.readyGates(state.service, state.request.route.homeRegions),
      this.placementContextOf(state, now),
    );
  }

  private placementContextOf(state: RequestState, now: number): PlacementContext {
    return {
      excludedNodes: state.excludedNodes,
      kilobytes: this.routeSizes.meanKilobytes(state.request.route.name),
      now,
      routeName: state.request.route.name,
      targetMilliseconds: state.targetDeadline - now,
    };
  }

  private dispatch(
    state: RequestState,
    view: GateView,
    isOptional: boolean,
    isRetry: boolean,
    now: number,
  ): boolean {
    const { node } = view;
    const attempt: Attempt = {
      boot: node.boot,
      callId: this.nextCallId,
      connectionLostAt: undefined,
      nodeName: node.name,
      isOptional,
      isRetry,
      sentAt: now,
      state,
    };
    this.nextCallId += 1;
    if (isOptional) state.optionalAttemptCount += 1;
    state.attempts.set(attempt.callId, attempt);
    state.usedNodes.add(node.name);
    this.attempts.set(attempt.callId, attempt);
    this.options.gates.onRequestSent(node.name);
    const isSent = this.options.port.send(node.name, this.createStartFrame(attempt, now));
    this.log.placement(state, view, isOptional, isSent, now);
    if (isSent) return true;
    this.endAttempt(attempt);
    state.usedNodes.delete(node.name);
    return false;
  }

  private createStartFrame(attempt: Attempt, now: number): StartFrame {
    const { callId, isOptional: optional, isRetry: repeat, state } = attempt;
    const { body, headers, isPipelined, method, path, requestId, route, tenant } = state.request;
    return {
      body,
      callId,
      callerService: this.options.callerService,
      headers,
      idempotent: route.idempotent,
      kind: 'start',
      method,
      nested: state.isNested,
      optional,
      path,
      priority: tenant?.priority ?? route.priority,
      remainingMilliseconds: state.deadline - now,
      repeat,
      requestId,
      routeName: route.name,
      service: state.service,
      targetMilliseconds: state.targetDeadline - now,
      ...(isPipelined === true && { pipelined: true }),
      ...tenantFields(tenant, this.options.keyValidMilliseconds),
    };
  }

  /** Estimated time that the caller has already spent on earlier attempts at this request. */
  private estimateMillisecondsSpentBefore({
    callerDeadline,
    receivedAt,
    route,
  }: EntryRequest): number {
    const givenMilliseconds = callerDeadline - receivedAt;
    return Number.isFinite(givenMilliseconds)
      ? this.callerTimeLimits.estimateMillisecondsSpentBefore(route.name, givenMilliseconds)
      : 0;
  }

  /** Concludes a request whose deadline has passed. */
  private expire(state: RequestState, now: number): void {
    if (state.usedNodes.size === 0) {
      if (state.deadline === this.stopAdmission.outcomesDueAt) this.refuseAsStopping(state, now);
      else this.refuse(state, now);
    } else this.conclude(state, { cause: UnknownCause.Timeout, kind: 'unknown' }, undefined, now);
  }

  /** Concludes a request that may have run and cannot be retried. */
  private giveUp(state: RequestState, now: number): void {
    this.conclude(state, { cause: UnknownCause.AttemptFailed, kind: 'unknown' }, undefined, now);
  }

  private suspicionOf({ request }: RequestState, now: number): RequestSuspicion {
    const { callerService, quarantine } = this.options;
    const { body, headers, method, path } = request;
    return quarantine.suspicionOf({ body, callerService, headers, method, path }, now);
  }

  private isQuarantined(state: RequestState, now: number): boolean {
    return state.isQuarantinedByGate || this.suspicionOf(state, now).quarantinedUntil !== undefined;
  }

  /** Whether the key of the caller may have been removed longer ago than is allowed. */
  private isKeyUnproven({ request }: RequestState): boolean {
    return request.tenant !== undefined && this.options.keyValidMilliseconds() <= 0;
  }

  private refuse(state: RequestState, now: number): void {
    const quarantinedUntil = this.suspicionOf(state, now).quarantinedUntil;
    if (quarantinedUntil !== undefined || state.isQuarantinedByGate) {
      const until = quarantinedUntil ?? now + unknownQuarantineMilliseconds;
      this.refuseUntil(state, RefusalCause.Quarantined, until, now);
      return;
    }
    const { isOverloaded, service, shortestExpectedMilliseconds } = state;
    const retryAfterMilliseconds = isOverloaded
      ? this.returnTimes.afterRefusal(service, shortestExpectedMilliseconds, now)
      : this.returnTimes.afterUnavailability();
    const cause = this.isKeyUnproven(state) ? RefusalCause.KeyUnproven : refusalCauseOf(state, now);
    this.refuseUntil(state, cause, now + retryAfterMilliseconds, now);
  }

  private refuseAsStopping(state: RequestState, now: number): void {
    this.refuseUntil(state, RefusalCause.Stopping, now + stoppingRetryAfterMilliseconds, now);
  }

  /** Refuses a request, which the caller may send again at the given time. */
  private refuseUntil(state: RequestState, cause: RefusalCause, until: number, now: number): void {
    const outcome = { cause, kind: 'refused', retryAfterMilliseconds: until - now } as const;
    this.conclude(state, outcome, undefined, now);
  }

  private conclude(
    state: RequestState,
    outcome: EntryOutcome,
    nodeName: string | undefined,
    now: number,
  ): void {
    this.log.conclusion(state, outcome, nodeName, now);
    this.remove(state);
    this.options.port.respond(state.request, outcome);
  }

  private remove(state: RequestState): void {
    state.conclude();
    for (const attempt of [...state.attempts.values()]) {
      this.endAttempt(attempt);
      this.options.port.send(attempt.nodeName, { callId: attempt.callId, kind: 'cancel' });
    }
    this.requests.delete(state.request.requestNumber);
  }

  private endAttempt(attempt: Attempt): void {
    this.attempts.delete(attempt.callId);
    attempt.state.attempts.delete(attempt.callId);
  }
}
