import { DeclineReason, ServerState } from '../messages/mesh-frames.js';
import type {
  CancelFrame,
  EndedServer,
  GateLoad,
  ReplyFrame,
  StartFrame,
} from '../messages/mesh-frames.js';
import { AdmissionQueue } from './admission-queue.js';
import type { WaitingRequest } from './admission-queue.js';
import { ConcurrencyBound } from './concurrency-bound.js';
import { GateCalls } from './gate-calls.js';
import type { GateCall } from './gate-calls.js';
import { GateEventName } from './gate-contract.js';
import type {
  Execution,
  ExecutionResult,
  GateEvent,
  GatePort,
  ServerLoad,
  ServerReport,
} from './gate-contract.js';
import { ProbeSchedule } from './probe-schedule.js';
import { RecentFailures } from './recent-failures.js';
import { ReportEffect, ServerLifetime } from './server-lifetime.js';
import { SpeedState, SpeedWatch } from './speed-watch.js';
import { StartRate } from './start-rate.js';
import { shortestUsefulMilliseconds, WorkTimes } from './work-times.js';

/** A late request waits only if this many times its usual time remain after it could start. */
const lateReserve = 1.5;
/**
 * Late requests wait only in a queue of this share of the slots. They fill slots that would be free; in a
 * longer queue those in time go before them until their deadline.
 */
const lateQueueShare = 0.5;
/** Expected rest of a slow moment. */
const slowRestMilliseconds = 75;
/**
 * A request that would be late if it started in a slow moment waits this long for the moment to pass: two
 * spans. Started in it, the request would also hold its slot for several times as long.
 */
const holdMilliseconds = 300;
/** A nested call is short and its parent holds a slot, so it waits for less than one span. */
const nestedHoldMilliseconds = 100;
/** Time past the deadline after which a request is aborted; the server ends its work by itself first. */
const overdueMilliseconds = 400;

/**
 * An idle gate takes a request that seems to have too little time if nothing has finished for this long:
 * only a request can show that its server is no longer slow.
 */
const trialAfterMilliseconds = 1_000;
/** A trial has at least this much time left: about the time of a short request. */
const shortestTrialMilliseconds = 50;
/** An idle gate asks a server that was slow for its speed this often. */
const idleProbeMilliseconds = 1_000;

/** Time between two searches for calls that are overdue or no longer remembered. */
const sweepMilliseconds = 100;

export interface ServerGateOptions {
  readonly service: string;
  readonly port: GatePort;
  /** Questions for the server's speed that the gate may ask. */
  readonly probesPerSecond: number;
  readonly log: (event: GateEvent) => void;
}

/**
 * The only way to the server beside the node. It decides what the server runs, in which order and how
 * much at once, so it knows without measuring how many requests are in flight, and its refusals are
 * true: what it declines has not run and will not.
 */
export class ServerGate {
  private readonly lifetime = new ServerLifetime();
  private readonly queue = new AdmissionQueue();
  private readonly bound = new ConcurrencyBound();
  private readonly speed = new SpeedWatch();
  private readonly work = new WorkTimes(this.speed, this.bound);
  private readonly probes: ProbeSchedule;
  private readonly failures = new RecentFailures();
  private readonly startRate = new StartRate();
  private readonly calls = new GateCalls();
  private running = 0;
  private nestedRunning = 0;
  private isStopping = false;
  private nextSweepAt = 0;
  /** Last time at which a request started or ended at the server. */
  private activeAt = 0;

  public constructor(private readonly options: ServerGateOptions) {
    this.probes = new ProbeSchedule(options.probesPerSecond);
  }

  public get state(): ServerState {
    if (this.isStopping) return ServerState.Draining;
    return this.lifetime.state;
  }

  public get inProgress(): number {
    return this.running + this.queue.size;
  }

  /** Requests that wait for their start. */
  public get waiting(): number {
    return this.queue.size;
  }

  public get hasServer(): boolean {
    return this.lifetime.instanceId !== undefined;
  }

  /** The server that drains, or the one that left last. */
  public get lastEndedServer(): EndedServer | undefined {
    return this.lifetime.lastEnded;
  }

  /** Whether the server said that it leaves, and no other has come since. */
  public get hasServerLeft(): boolean {
    return this.lifetime.hasLeft;
  }

  /** Requests that the server says it can run at once; 0 without a server. */
  public get slots(): number {
    return this.hasServer ? this.lifetime.slots : 0;
  }

  public get probesPerSecond(): number {
    return this.probes.allowedPerSecond;
  }

  public load(now: number): GateLoad {
    return {
      failureShare: this.failures.share(now),
      limit: this.bound.limit(this.lifetime.slots),
      running: this.running,
      serviceMilliseconds: this.work.mean,
      slowdown: this.speed.state(now) === SpeedState.Slow ? this.speed.current : 1,
      state: this.state,
      waitMilliseconds: this.waitFor(
        this.queue.size + 1,
        this.bound.limit(this.lifetime.slots),
        now,
      ),
      waiting: this.queue.size,
    };
  }

  /** A node asks for a request to be run. `boot` is the life of the asking process. */
  public start(from: string, boot: number, frame: StartFrame, now: number): void {
    const known = this.calls.find(from, boot, frame.callId);
    if (known !== undefined) {
      if (known.reply !== undefined) this.options.port.reply(from, known.reply);
      return;
    }
    const call = this.calls.open(from, boot, frame, now);
    const reason = this.closedReason(call, now);
    if (reason !== undefined) {
      this.decline(call, reason, 0, now);
      return;
    }
    this.admit(call, now);
  }

  /** Nobody waits for the answer any more. */
  public cancel(from: string, boot: number, frame: CancelFrame, now: number): void {
    const call = this.calls.find(from, boot, frame.callId);
    if (call === undefined) return;
    if (call.state === 'waiting') {
      this.queue.remove(call.executionId);
      this.finish(call, undefined, now);
    } else if (call.state === 'running' && call.frame.idempotent) {
      // A request that must not be repeated is left to finish: its effect is wanted even unheard.
      call.state = 'aborted';
      this.options.port.abort(call.executionId);
    }
    this.log(GateEventName.RequestCancelled, call, { state: call.state });
  }

  /** The server is done with a request. */
  public concluded(executionId: number, result: ExecutionResult, now: number): void {
    const call = this.calls.execution(executionId);
    if (call === undefined) return;
    const wasAborted = call.state === 'aborted';
    this.running -= 1;
    this.activeAt = now;
    if (call.frame.nested) this.nestedRunning -= 1;
    if (wasAborted) this.work.aborted(call, now);
    else {
      const isFailure =
        result.kind !== 'answered' || (result.status >= 500 && now < call.deadline - 1);
      this.failures.add(isFailure, now);
      if (!isFailure) this.work.answered(call, this.lifetime.slots, now);
    }
    this.logFinished(call, result, now);
    this.finish(call, wasAborted ? undefined : this.replyOf(call, result, now), now);
    this.startWaiting(now);
  }

  /** A question for the server's speed was answered or failed. */
  public probed(now: number): void {
    this.probes.ended();
    this.startWaiting(now);
  }

  /** Load that came with an answer of the server. */
  public serverLoad(load: ServerLoad, now: number): void {
    this.bound.reported(load.running, this.running);
    if (load.slowdown !== undefined) this.speedReported(load.slowdown, now);
    this.startWaiting(now);
  }

  public report(report: ServerReport, now: number): void {
    const effect = this.lifetime.report(report, now);
    this.bound.setCold(this.lifetime.isCold(now));
    this.applyEffect(effect, report.instanceId, now);
  }

  /** A health check was answered; `instanceId` is who answered. */
  public seen(instanceId: string, slots: number, now: number): void {
    this.applyEffect(this.lifetime.seen(instanceId, slots, now), instanceId, now);
  }

  /** The server says that it leaves. When this returns, no further request goes to it. */
  public leave(instanceId: string, now: number): void {
    if (!this.lifetime.leave(instanceId)) return;
    this.options.log({ event: GateEventName.ServerLeft, fields: { instance: instanceId } });
    this.declineWaiting(DeclineReason.Draining, now);
    this.options.port.loadChanged();
  }

  /** Another node tells that an earlier life of this gate shut for a server. */
  public endedBefore(server: EndedServer, now: number): void {
    if (!this.lifetime.endedBefore(server)) return;
    const fields = { instance: server.instanceId };
    this.options.log({ event: GateEventName.ServerLeft, fields });
    this.declineWaiting(DeclineReason.Draining, now);
    this.options.port.loadChanged();
  }

  /** The process is about to end: nothing new starts here. */
  public stop(now: number): void {
    this.isStopping = true;
    this.declineWaiting(DeclineReason.Draining, now);
    this.options.port.loadChanged();
  }

  public configured(routeNames: ReadonlySet<string>): void {
    this.work.retain(routeNames);
  }

  public setProbesPerSecond(probesPerSecond: number): void {
    this.probes.configure(probesPerSecond);
  }

  /** The request at the server whose call a request is, by the form of the identifiers. */
  public parentOf(requestId: string): StartFrame | undefined {
    return this.calls.parentOf(requestId);
  }

  public tick(now: number): void {
    this.bound.setCold(this.lifetime.isCold(now));
    for (const waiting of [...this.queue.values()]) {
      const call = this.calls.execution(waiting.executionId);
      if (call === undefined) continue;
      if (this.isTooLate(call, now)) {
        this.declineQueued(waiting, DeclineReason.DeadlineTooShort, 0, now);
      } else if (this.isOvertaken(call, now)) {
        const expected = this.expectedWait(waiting, now) + this.work.expected(call.frame.routeName);
        this.declineQueued(waiting, DeclineReason.QueueFull, expected, now);
      }
    }
    this.startWaiting(now);
    if (this.isSpeedUnsure(now) && this.probes.take(now)) this.options.port.probe();
    if (now >= this.nextSweepAt) this.sweep(now);
  }

  private speedReported(slowdown: number, now: number): void {
    const lastReportAt = now - this.speed.age(now);
    this.speed.report(slowdown, now);
    if (this.speed.state(now) !== SpeedState.Slow) return;
    // The slow moment began at some time since the last report, perhaps before these requests started.
    for (const call of this.calls.running()) {
      if (call.startedAt > lastReportAt) call.startedFast = false;
    }
  }

  private sweep(now: number): void {
    this.nextSweepAt = now + sweepMilliseconds;
    this.calls.forgetOld(now);
    for (const call of this.calls.running()) {
      if (now - call.deadline > overdueMilliseconds) this.options.port.abort(call.executionId);
    }
  }

  private closedReason(call: GateCall, now: number): DeclineReason | undefined {
    const { frame } = call;
    if (this.isStopping) return DeclineReason.Draining;
    switch (this.lifetime.state) {
      case ServerState.Absent:
        return DeclineReason.NoServer;
      case ServerState.Draining:
        return DeclineReason.Draining;
      case ServerState.Ready:
    }
    if (frame.service !== this.options.service) return DeclineReason.WrongService;
    if (frame.remainingMilliseconds >= this.work.needed(frame.routeName)) return undefined;
    call.isTrial = this.isTrialDue(frame, now);
    return call.isTrial ? undefined : DeclineReason.DeadlineTooShort;
  }

  private isIdleSince(milliseconds: number, now: number): boolean {
    return this.inProgress === 0 && now - this.activeAt > milliseconds;
  }

  private isTrialDue({ remainingMilliseconds }: StartFrame, now: number): boolean {
    return (
      remainingMilliseconds >= shortestTrialMilliseconds &&
      this.isIdleSince(trialAfterMilliseconds, now)
    );
  }

  /** Without requests no answer tells that the server is fast again, and nodes place none here until then. */
  private isSpeedUnsure(now: number): boolean {
    return (
      this.speed.baseline > 1 &&
      this.speed.age(now) > idleProbeMilliseconds &&
      this.isIdleSince(idleProbeMilliseconds, now)
    );
  }

  private isTooLate({ deadline, frame, isTrial }: GateCall, now: number): boolean {
    const needed = isTrial ? shortestUsefulMilliseconds : this.work.needed(frame.routeName);
    return deadline - now < needed;
  }

  private admit(call: GateCall, now: number): void {
    const waiting = waitingOf(call, now);
    const isFree = this.queue.size === 0 && this.running < this.limitFor(call.frame);
    if (!isFree) {
      const wait = this.expectedWait(waiting, now);
      const finish = wait + this.work.expected(call.frame.routeName);
      if (call.frame.optional) {
        this.decline(call, DeclineReason.Busy, finish, now);
        return;
      }
      if (!this.mayWait(call, wait, now)) {
        this.decline(call, DeclineReason.QueueFull, finish, now);
        return;
      }
    }
    this.queue.add(waiting);
    this.startWaiting(now);
  }

  /**
   * A request waits if it would start in time for its target, or if it is certain to be served late.
   * Under a lasting overload the rest are refused at once: waiting would make all of them late.
   */
  private mayWait({ deadline, frame, targetAt }: GateCall, wait: number, now: number): boolean {
    const service = this.work.expected(frame.routeName);
    if (frame.nested) {
      return now + wait + this.work.neededNested(frame.routeName) <= deadline;
    }
    if (now + wait + service <= targetAt) return true;
    return (
      this.queue.size < this.lateQueue(frame) && now + wait + service * lateReserve <= deadline
    );
  }

  /**
   * A request that has missed its target while many wait is overtaken by those in time until its deadline,
   * so it is declined while it can still be refused early or go elsewhere.
   */
  private isOvertaken({ frame, targetAt }: GateCall, now: number): boolean {
    if (frame.nested || this.queue.size <= this.lateQueue(frame)) return false;
    return now + this.work.expected(frame.routeName) > targetAt;
  }

  /** Length of the queue up to which late requests wait. */
  private lateQueue(frame: StartFrame): number {
    return Math.max(1, this.limitFor(frame) * lateQueueShare);
  }

  private limitFor(frame: StartFrame): number {
    const { slots } = this.lifetime;
    return frame.nested ? this.bound.nestedLimit(slots) : this.bound.limit(slots);
  }

  /** Time until a request would start if it waited here. */
  private expectedWait(request: WaitingRequest, now: number): number {
    const ahead = this.queue.ahead(request, now, this.work.mean);
    return this.waitFor(ahead + 1, this.limitFor(request.frame), now);
  }

  /** Time until the request at a place of the queue starts. */
  private waitFor(place: number, limit: number, now: number): number {
    if (this.running + place <= limit) return 0;
    const excess = Math.max(0, this.running - limit);
    const byService = ((place + excess) * this.work.mean) / limit;
    const interval = this.queue.size === 0 ? undefined : this.startRate.intervalMilliseconds(now);
    return interval === undefined ? byService : Math.max(byService, place * interval);
  }

  /**
   * Nested calls go first, because their parents hold slots elsewhere, but while callers wait they
   * take no more than half of the slots: their parents may be less urgent than those who wait.
   */
  private get areNestedFirst(): boolean {
    return this.nestedRunning * 2 < this.bound.limit(this.lifetime.slots);
  }

  private startWaiting(now: number): void {
    if (this.lifetime.state !== ServerState.Ready || this.isStopping) return;
    while (this.queue.size > 0) {
      const next = this.queue.next(now, this.work.mean, this.areNestedFirst);
      if (next === undefined || this.running >= this.limitFor(next.frame)) return;
      const speed = this.speedNow(now);
      if (speed === SpeedState.Slow && next.frame.optional) {
        this.declineOptional(now);
        continue;
      }
      if (speed !== SpeedState.Fast && now < this.latestStart(next)) return;
      this.queue.remove(next.executionId);
      const call = this.calls.execution(next.executionId);
      if (call === undefined) continue;
      if (this.isTooLate(call, now)) {
        this.decline(call, DeclineReason.DeadlineTooShort, 0, now);
      } else this.run(call, now);
    }
  }

  /** The server's speed; asks for it if the last report is too old. */
  private speedNow(now: number): SpeedState {
    const state = this.speed.state(now);
    if (state !== SpeedState.Unknown || !this.speed.isReported) {
      return state === SpeedState.Slow ? state : SpeedState.Fast;
    }
    if (this.probes.isAwaited(now)) return state;
    if (!this.probes.take(now)) return SpeedState.Fast;
    this.options.port.probe();
    return state;
  }

  /** Until when a request rather waits for a slow moment to pass than starts in it. */
  private latestStart({ enqueuedAt, frame, targetAt }: WaitingRequest): number {
    const expected = this.work.expected(frame.routeName);
    const latestInTime = targetAt - expected * this.speed.relative;
    if (latestInTime >= enqueuedAt) return latestInTime;
    const hold = frame.nested ? nestedHoldMilliseconds : holdMilliseconds;
    return Math.max(targetAt - expected, enqueuedAt + hold);
  }

  /** In a slow moment other gates are the better choice for those who may go there. */
  private declineOptional(now: number): void {
    for (const waiting of [...this.queue.values()]) {
      if (!waiting.frame.optional) continue;
      const expected = slowRestMilliseconds + this.work.expected(waiting.frame.routeName);
      this.declineQueued(waiting, DeclineReason.Busy, expected, now);
    }
  }

  private run(call: GateCall, now: number): void {
    const { instanceId } = this.lifetime;
    if (instanceId === undefined) {
      this.decline(call, DeclineReason.NoServer, 0, now);
      return;
    }
    call.state = 'running';
    call.startedAt = now;
    const { deadline, executionId, frame } = call;
    this.running += 1;
    this.activeAt = now;
    if (frame.nested) this.nestedRunning += 1;
    else if (now - call.arrivedAt > 0) this.startRate.started(now);
    call.runningAtStart = this.running;
    call.startedFast = this.speed.state(now) === SpeedState.Fast;
    call.slowdownAtStart = this.speed.isReported ? this.speed.current : 1;
    const execution: Execution = { deadline, executionId, frame, instanceId };
    call.speedAgeAtStart = this.speed.age(now);
    this.log(GateEventName.RequestStarted, call, this.startFields(call));
    this.options.port.run(execution);
  }

  /** What the gate knew when it started a request. */
  private startFields(call: GateCall): GateEvent['fields'] {
    const { frame, runningAtStart, slowdownAtStart, speedAgeAtStart, startedAt } = call;
    return {
      limit: this.limitFor(frame),
      running: runningAtStart,
      slowdown: slowdownAtStart,
      waited: Math.round(startedAt - call.arrivedAt),
      ...(Number.isFinite(speedAgeAtStart) && { slowdownAge: Math.round(speedAgeAtStart) }),
    };
  }

  private logFinished(call: GateCall, result: ExecutionResult, now: number): void {
    const isAborted = call.state === 'aborted';
    this.log(GateEventName.RequestFinished, call, {
      ...this.startFields(call),
      late: now > call.targetAt,
      milliseconds: Math.round(now - call.startedAt),
      outcome: isAborted ? 'cancelled' : result.kind,
      ...(result.kind === 'answered' && { status: result.status }),
      ...(result.kind === 'failed' && { detail: result.detail }),
    });
  }

  private replyOf(call: GateCall, result: ExecutionResult, now: number): ReplyFrame {
    const { callId } = call.frame;
    const load = this.load(now);
    switch (result.kind) {
      case 'answered': {
        const { body, headers, status } = result;
        return { body, callId, headers, kind: 'answered', load, status };
      }
      case 'failed':
        return { callId, detail: result.detail, kind: 'failed', load };
      case 'not-run':
        return {
          callId,
          expectedMilliseconds: 0,
          kind: 'declined',
          load,
          reason: result.reason,
        };
    }
  }

  private decline(call: GateCall, reason: DeclineReason, expected: number, now: number): void {
    this.log(GateEventName.RequestDeclined, call, {
      expected: Math.round(expected),
      limit: this.limitFor(call.frame),
      needed: Math.round(this.work.needed(call.frame.routeName)),
      reason,
      remaining: Math.round(call.deadline - now),
      running: this.running,
      waiting: this.queue.size,
    });
    const frame: ReplyFrame = {
      callId: call.frame.callId,
      expectedMilliseconds: expected,
      kind: 'declined',
      load: this.load(now),
      reason,
    };
    this.finish(call, frame, now);
  }

  private declineWaiting(reason: DeclineReason, now: number): void {
    for (const waiting of [...this.queue.values()]) this.declineQueued(waiting, reason, 0, now);
  }

  private declineQueued(
    { executionId }: WaitingRequest,
    reason: DeclineReason,
    expected: number,
    now: number,
  ): void {
    this.queue.remove(executionId);
    const call = this.calls.execution(executionId);
    if (call !== undefined) this.decline(call, reason, expected, now);
  }

  private finish(call: GateCall, reply: ReplyFrame | undefined, now: number): void {
    this.calls.finish(call, reply, now);
    if (reply !== undefined) this.options.port.reply(call.from, reply);
  }

  private applyEffect(effect: ReportEffect, instanceId: string, now: number): void {
    const { log, port } = this.options;
    switch (effect) {
      case ReportEffect.Unchanged:
        return;
      case ReportEffect.Ignored:
        log({ event: GateEventName.ServerReportIgnored, fields: { instance: instanceId } });
        return;
      case ReportEffect.Started:
        log({
          event: GateEventName.ServerReady,
          fields: { instance: instanceId, slots: this.lifetime.slots },
        });
        port.loadChanged();
        return;
      case ReportEffect.Draining:
        log({
          event: GateEventName.ServerDraining,
          fields: { instance: instanceId, running: this.running, waiting: this.queue.size },
        });
        this.declineWaiting(DeclineReason.Draining, now);
        port.loadChanged();
    }
  }

  private log(
    event: GateEvent['event'],
    { frame, from }: GateCall,
    fields: GateEvent['fields'],
  ): void {
    this.options.log({
      event,
      fields: { from, request: frame.requestId, route: frame.routeName, ...fields },
    });
  }
}

function waitingOf(call: GateCall, now: number): WaitingRequest {
  const { deadline, executionId, frame, targetAt } = call;
  return { deadline, enqueuedAt: now, executionId, frame, targetAt };
}
