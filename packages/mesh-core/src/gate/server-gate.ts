import { AdmissionOrder } from '../admission/admission-order.js';
import type { WaitingRequest } from '../admission/admission-queue.js';
import { remainingWork } from '../admission/server-room.js';
import type { ServerRoom } from '../admission/server-room.js';
import { DeclineReason, ServerState } from '../messages/mesh-frames.js';
import type {
  CancelFrame,
  EndedServer,
  GateLoad,
  ReplyFrame,
  StartFrame,
} from '../messages/mesh-frames.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Route } from '../routes/route-configuration.js';
import { ColdAssumptionCause, ColdStartGuard } from './cold-start-guard.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import type { Decline } from './declined-calls.js';
import { GateCallRegistry, toWaitingRequest } from './gate-call-registry.js';
import type { CallMemory, GateCall } from './gate-call-registry.js';
import { GateEventName, ServerEvidence, ServerNotUsedReason } from './gate-contract.js';
import type {
  Execution,
  ExecutionResult,
  GateEvent,
  GatePort,
  GateStopSchedule,
  ServerLoad,
  ServerNotice,
  ServerReport,
} from './gate-contract.js';
import { GateLog } from './gate-log.js';
import { KeyLeases } from './key-lease.js';
import { hasNoResponse, toReplyFrame } from './gate-replies.js';
import { ProbeRateLimiter } from './probe-rate-limiter.js';
import { RecentFailures } from './recent-failures.js';
import { RequestRateLimit } from './request-rate-limit.js';
import { ServerCrashDetector } from './server-crash-detector.js';
import type { LostCall } from './server-crash-detector.js';
import { ReportEffect, ServerIncarnationTracker } from './server-incarnation-tracker.js';
import { SpeedState, ServerSpeedTracker } from './server-speed-tracker.js';
import { SuspectScreening } from './suspect-screening.js';
import { StartIntervalEstimator } from './start-interval-estimator.js';
import { shortestUsefulMilliseconds, ServiceTimeEstimator } from './service-time-estimator.js';

/** Expected remaining duration of a slowdown in progress. */
const slowdownRemainderMilliseconds = 75;
/**
 * Maximum time for which a request that would miss its target if started during a slowdown waits for the
 * slowdown to end: the usual duration of two slowdowns. If started, the request would also hold its slot
 * several times as long as normal.
 */
const slowdownWaitMilliseconds = 300;
/** As above for a nested call, which is short and whose parent holds a slot: shorter than one slowdown. */
const nestedSlowdownWaitMilliseconds = 100;
/** Time past the deadline after which a request is aborted. The server normally stops its work by itself before. */
const abortGraceMilliseconds = 400;

/**
 * A gate that has been idle for this long admits a request whose remaining time seems too short, as a trial:
 * only a request can show that the server is no longer slow.
 */
const trialIdleMilliseconds = 1_000;
/** Minimum remaining time of a trial: about the service time of a short request. */
const minimumTrialMilliseconds = 50;
/** Interval at which an idle gate probes the speed of a server that was slow. */
const idleProbeIntervalMilliseconds = 1_000;

/**
 * Maximum number of requests in progress before the first response of a server that was running already. It may have
 * stated a limit to an earlier process of this node.
 */
const maximumRunningBeforeResponse = 2;
/** Sequence number of the first report of a server. */
const firstReportSequence = 1;

/** Interval between two searches for overdue calls and for finished calls whose retention has ended. */
const sweepIntervalMilliseconds = 100;

export interface ServerGateOptions {
  readonly service: string;
  readonly port: GatePort;
  readonly quarantine: Pick<RequestQuarantine, 'recordCompletion' | 'suspicionOf'>;
  /** Memory of requests, and of replies that are retained in case an entry asks for them again. */
  readonly callMemory: CallMemory;
  /** Maximum rate at which the gate probes the server's speed. */
  readonly probesPerSecond: number;
  /** Interval at which the server reports its state. */
  readonly reportIntervalMilliseconds: number;
  /** Start of this process on the monotonic clock. */
  readonly processStartedAt: number;
  /** Clock of a `LeaseClock`, for how long the keys of requests hold. */
  readonly leaseClock: () => number;
  readonly log: (event: GateEvent) => void;
}

/**
 * Admission control of the server beside the node. All requests to the server pass through the gate, which
 * decides which of them run, in which order and how many at once. It therefore knows exactly how many are in
 * flight, and a declined request is certain not to have run and not to run later.
 */
export class ServerGate {
  private readonly serverTracker = new ServerIncarnationTracker();
  private readonly concurrencyLimit = new ConcurrencyLimit();
  private readonly speed = new ServerSpeedTracker();
  private readonly estimator = new ServiceTimeEstimator(this.speed, this.concurrencyLimit);
  private readonly order = new AdmissionOrder(this.estimator);
  private readonly queue = this.order.queue;
  private readonly probes: ProbeRateLimiter;
  private readonly failures = new RecentFailures();
  private readonly startIntervalEstimator = new StartIntervalEstimator();
  private readonly calls: GateCallRegistry;
  private readonly coldStartGuard: ColdStartGuard;
  private readonly requestRate = new RequestRateLimit();
  private readonly crashDetector: ServerCrashDetector;
  private readonly screening: SuspectScreening;
  /** Whether the current server has responded to a request of this process. */
  private hasServerResponded = false;
  private readonly gateLog: GateLog;
  private readonly keyLeases: KeyLeases;
  private isEvacuated = false;
  private running = 0;
  private nestedRunning = 0;
  /** Undefined while the process is not stopping. */
  private stopSchedule: GateStopSchedule | undefined;
  /** Whether the gate has closed because the process is about to end. */
  private isClosed = false;
  private nextSweepAt = 0;
  /** Time of the last start or end of a request at the server. */
  private lastActivityAt = 0;

  public constructor(private readonly options: ServerGateOptions) {
    this.calls = new GateCallRegistry(options.callMemory);
    this.gateLog = new GateLog(options.log);
    this.keyLeases = new KeyLeases(options.leaseClock);
    this.probes = new ProbeRateLimiter(options.probesPerSecond);
    this.coldStartGuard = new ColdStartGuard({
      onAssumed: (cause) => {
        options.log({ event: GateEventName.ServerAssumedCold, fields: { cause } });
      },
      processStartedAt: options.processStartedAt,
      reportIntervalMilliseconds: options.reportIntervalMilliseconds,
    });
    this.screening = new SuspectScreening(options.quarantine);
    this.crashDetector = new ServerCrashDetector({
      check: () => {
        options.port.checkListener();
      },
      onCrashed: (lost) => {
        this.onServerCrashed(lost);
      },
      onReleased: (call, reply, now) => {
        this.finish(call, reply, now);
      },
    });
  }

  public get state(): ServerState {
    if (this.isClosed) return ServerState.Draining;
    const { state } = this.serverTracker;
    return this.isEvacuated && state === ServerState.Ready ? ServerState.Evacuated : state;
  }

  /** Whether the server is cold, or may be, so that the rate of requests is limited. */
  public isCold(now: number): boolean {
    return this.coldStartGuard.isCold(now);
  }

  public get inProgress(): number {
    return this.running + this.queue.size + this.crashDetector.pendingCount;
  }

  /** Number of queued requests. */
  public get waiting(): number {
    return this.queue.size;
  }

  public get hasServer(): boolean {
    return this.serverTracker.instanceId !== undefined;
  }

  /** The server that is draining, or the one that left last. */
  public get lastEndedServer(): EndedServer | undefined {
    return this.serverTracker.lastEnded;
  }

  /** Whether the server has announced that it drains or leaves, and no other has started since. */
  public get hasServerLeft(): boolean {
    return this.serverTracker.hasLeft;
  }

  /** Requests per second that the server says it takes; undefined if it states no limit. */
  public get statedRequestsPerSecond(): number | undefined {
    const { requestsPerSecond } = this.requestRate;
    return Number.isFinite(requestsPerSecond) ? requestsPerSecond : undefined;
  }

  /** Number of requests that the server reports it can run at once; 0 without a server. */
  public get slots(): number {
    return this.hasServer ? this.serverTracker.slots : 0;
  }

  public get probesPerSecond(): number {
    return this.probes.allowedPerSecond;
  }

  public load(now: number, repliedRouteName?: string): GateLoad {
    const limit = this.concurrencyLimit.limit(this.serverTracker.slots);
    const routeMilliseconds = this.estimator.reportedServiceMilliseconds(repliedRouteName);
    return {
      failureShare: this.failures.share(now),
      limit,
      running: this.running,
      serviceMilliseconds: this.estimator.meanServiceMilliseconds,
      slowdown: this.speed.state(now) === SpeedState.Slow ? this.speed.currentSlowdown : 1,
      state: this.state,
      waitMilliseconds: this.order.waitOfLast(this.roomWithin(limit, now)),
      waiting: this.queue.size,
      ...(routeMilliseconds !== undefined && { routeMilliseconds }),
    };
  }

  /** Handles a request frame of a node. `boot` identifies the incarnation of the sending process. */
  public start(from: string, boot: number, frame: StartFrame, now: number): void {
    const existing = this.calls.find(from, boot, frame.callId);
    if (existing !== undefined) {
      if (existing.reply !== undefined) this.options.port.reply(from, boot, existing.reply);
      return;
    }
    const decline = this.calls.findDeclined(from, boot, frame.callId);
    if (decline !== undefined) {
      this.options.port.reply(from, boot, this.declinedFrame(frame, decline, now));
      return;
    }
    const call = this.calls.open(from, boot, frame, now);
    this.keyLeases.begin(call, frame);
    const reason = this.immediateDeclineReason(call, now);
    if (reason !== undefined) {
      this.decline(call, reason, 0, now);
      return;
    }
    this.admit(call, now);
  }

  /** Handles a cancellation: the response is no longer needed. */
  public cancel(from: string, boot: number, frame: CancelFrame, now: number): void {
    const call = this.calls.find(from, boot, frame.callId);
    if (call === undefined) return;
    if (call.state === 'waiting') {
      this.queue.remove(call.executionId);
      this.finish(call, undefined, now);
    } else if (call.state === 'running' && call.frame.idempotent) {
      // A request that is not idempotent runs to its end: its effect is wanted even if nobody receives the response.
      call.state = 'aborted';
      this.options.port.abort(call.executionId);
    }
    this.gateLog.requestCancelled(call);
  }

  /** Handles the end of a request at the server. */
  public onExecutionFinished(executionId: number, result: ExecutionResult, now: number): void {
    const call = this.calls.findByExecutionId(executionId);
    if (call === undefined) return;
    const wasAborted = call.state === 'aborted';
    this.running -= 1;
    this.concurrencyLimit.recordRunning(this.serverTracker.slots, this.running, now);
    this.lastActivityAt = now;
    if (call.frame.nested) this.nestedRunning -= 1;
    if (wasAborted) this.estimator.recordAbort(call, now);
    else {
      const isFailure =
        result.kind !== 'answered' || (result.status >= 500 && now < call.deadline - 1);
      this.failures.add(isFailure, now);
      if (!isFailure) this.estimator.recordResponse(call, now);
    }
    // The server may have ended, and the next one is cold.
    if (!wasAborted && hasNoResponse(result))
      this.coldStartGuard.assumeCold(ColdAssumptionCause.NoResponse, now);
    this.gateLog.requestFinished(call, this.limitFor(call.frame), result, now);
    const load = this.load(now, call.frame.routeName);
    const reply = wasAborted ? undefined : toReplyFrame(call.frame.callId, result, load);
    if (result.kind === 'answered') {
      this.crashDetector.onResponse();
      if (result.status < 500) this.options.quarantine.recordCompletion(call.frame, now);
    }
    if (reply !== undefined && result.kind === 'failed' && result.isConnectionLost === true) {
      call.state = 'lost';
      const instanceId = this.serverTracker.instanceId ?? '';
      this.crashDetector.onConnectionLost({ call, instanceId, lostAt: now, reply });
    } else this.finish(call, reply, now);
    this.startQueued(now);
  }

  /** Ends the requests that have become quarantined; those at the server are aborted before they crash it. */
  public onQuarantineChanged(now: number): void {
    for (const waiting of [...this.queue.values()]) {
      if (this.screening.isQuarantined(waiting.frame, now))
        this.declineQueued(waiting, DeclineReason.Quarantined, 0, now);
    }
    for (const { executionId, frame } of [...this.calls.runningCalls()])
      if (this.screening.isQuarantined(frame, now)) this.options.port.abort(executionId);
  }

  /** Handles whether connections to the server's address are refused. */
  public onListenerChecked(isRefused: boolean, now: number): void {
    this.crashDetector.onChecked(isRefused, now);
  }

  /** Handles the end of a probe, whether it succeeded or failed. */
  public onProbeFinished(now: number): void {
    this.probes.onFinished();
    this.startQueued(now);
  }

  /**
   * Handles how long the server stays cold, according to its answer to a health check that was sent at the given time.
   */
  public onColdTimeChecked(sentAt: number, coldMilliseconds: number, now: number): void {
    this.coldStartGuard.onHealthChecked(sentAt, coldMilliseconds, now);
    this.concurrencyLimit.setCold(this.isCold(now));
  }

  /** Sets how many requests a cold server may receive. */
  public configureColdStart(limit: ColdStartLimit | undefined): void {
    this.coldStartGuard.configure(limit);
  }

  /** Handles the start or the end of the evacuation of the gate's availability zone. */
  public setEvacuated(isEvacuated: boolean, now: number): void {
    if (isEvacuated === this.isEvacuated) return;
    this.isEvacuated = isEvacuated;
    const event = isEvacuated ? GateEventName.EvacuationStarted : GateEventName.EvacuationEnded;
    const fields = { running: this.running, waiting: this.queue.size };
    this.options.log({ event, fields });
    if (isEvacuated) this.declineAllQueued(DeclineReason.ZoneEvacuated, now);
    else this.coldStartGuard.assumeCold(ColdAssumptionCause.EvacuationEnded, now);
    this.options.port.onStateChanged();
  }

  /** Handles what the server states about itself in a response. */
  public onServerNotice(notice: ServerNotice, now: number): void {
    const { instanceId, isLeaving, requestsPerSecond } = notice;
    if (instanceId !== this.serverTracker.instanceId) return;
    if (isLeaving) {
      const effect = this.serverTracker.onLeavingStated(instanceId);
      this.applyEffect(effect, instanceId, ServerEvidence.Report, now);
    }
    const isFirstResponse = !this.hasServerResponded;
    this.hasServerResponded = true;
    const isRateChanged =
      requestsPerSecond !== undefined && this.setRequestRate(requestsPerSecond, now);
    if (isFirstResponse || isRateChanged) this.startQueued(now);
  }

  /** Handles the load that came with a response of the server. */
  public onServerLoad(load: ServerLoad, now: number): void {
    this.concurrencyLimit.recordServerRunning(load.running, this.running);
    if (load.slowdown !== undefined) this.onSlowdownReported(load.slowdown, now);
    this.startQueued(now);
  }

  public onServerReport(report: ServerReport, now: number): void {
    const hadServer = this.hasServer;
    const effect = this.serverTracker.onReport(report);
    if (effect === ReportEffect.Started && hadServer) this.crashDetector.onIncarnationReplaced(now);
    // Only a server that has been running for some time can have responded to an earlier process of this node.
    if (effect === ReportEffect.Started)
      this.hasServerResponded = report.sequence <= firstReportSequence;
    if (effect !== ReportEffect.Ignored && effect !== ReportEffect.Ended) {
      this.coldStartGuard.onReport(report, effect === ReportEffect.Started, now);
      this.concurrencyLimit.setCold(this.isCold(now));
    }
    this.applyEffect(effect, report.instanceId, ServerEvidence.Report, now);
  }

  /** Handles a successful health check; `instanceId` is the server that answered it. */
  public onHealthCheckPassed(instanceId: string, slots: number, now: number): void {
    const effect = this.serverTracker.onHealthCheckPassed(instanceId, slots);
    this.applyEffect(effect, instanceId, ServerEvidence.HealthCheck, now);
  }

  /** Handles the announcement of a server that it leaves. Once this returns, no further request is sent to it. */
  public onServerLeaving(instanceId: string, now: number): void {
    const wasCurrent = this.serverTracker.onLeaving(instanceId);
    this.options.log({ event: GateEventName.ServerLeft, fields: { instance: instanceId } });
    if (wasCurrent) this.declineAllQueued(DeclineReason.Draining, now);
    // Also if no report of the server has reached this process, so that peers keep its departure for later processes.
    this.options.port.onStateChanged();
  }

  /** The incarnation that a server means which announces its departure. */
  public incarnationOf(instanceId: string): EndedServer {
    return this.serverTracker.incarnationOf(instanceId);
  }

  /** Whether a server with this identifier may be the one beside the node, or an earlier one. */
  public mayBeOwnServer(instanceId: string): boolean {
    return this.serverTracker.mayBeOwn(instanceId);
  }

  /**
   * Handles the report of another node that an earlier incarnation of this gate stopped sending requests to a
   * server because it drained or left.
   */
  public onServerEndReported(server: EndedServer, now: number): void {
    if (!this.serverTracker.onEndReported(server)) return;
    const fields = { instance: server.instanceId };
    this.options.log({ event: GateEventName.ServerLeft, fields });
    this.declineAllQueued(DeclineReason.Draining, now);
    this.options.port.onStateChanged();
  }

  /** Handles the stop signal of the process. Until the gate closes, it goes on with requests that end before the process. */
  public stop(schedule: GateStopSchedule, now: number): void {
    this.stopSchedule = schedule;
    this.closeIfDue(now);
  }

  /** Handles a change of the configured routes; those to other services have no effect. */
  public onRoutesChanged(routes: readonly Route[]): void {
    const targets = new Map<string, number>();
    for (const { name, split, targetLatencyMilliseconds } of routes) {
      if (split.some(({ service }) => service === this.options.service))
        targets.set(name, targetLatencyMilliseconds);
    }
    this.estimator.setTargets(targets);
    this.concurrencyLimit.retainRoutes(new Set(targets.keys()));
  }

  public setProbesPerSecond(probesPerSecond: number): void {
    this.probes.configure(probesPerSecond);
  }

  /** Finds the running request that issued the given request as a nested call, by the prefix of its identifier. */
  public findParent(requestId: string): StartFrame | undefined {
    return this.calls.findParent(requestId);
  }

  public tick(now: number): void {
    this.closeIfDue(now);
    this.concurrencyLimit.setCold(this.isCold(now));
    if (this.state === ServerState.Ready && this.coldStartGuard.isHealthCheckDue(now))
      this.checkColdness(now);
    for (const waiting of [...this.queue.values()]) {
      const call = this.calls.findByExecutionId(waiting.executionId);
      if (call === undefined) continue;
      if (this.isTooLate(call, now)) {
        this.declineQueued(waiting, DeclineReason.DeadlineTooShort, 0, now);
      } else if (this.order.isOvertaken(waiting, this.limitFor(call.frame), now)) {
        const expected = this.order.expectedAnswer(waiting, this.roomFor(call.frame, now), now);
        this.declineQueued(waiting, DeclineReason.QueueFull, expected, now);
      }
    }
    this.startQueued(now);
    if (this.isIdleProbeDue(now) && this.probes.tryTake(now)) this.options.port.probe();
    if (now >= this.nextSweepAt) this.sweep(now);
  }

  /** Declines all queued and further requests once the time for it has come. */
  private closeIfDue(now: number): void {
    if (this.isClosed || now < (this.stopSchedule?.gateClosesFrom ?? Infinity)) return;
    this.isClosed = true;
    this.declineAllQueued(DeclineReason.Draining, now);
    this.options.port.onStateChanged();
  }

  private onServerCrashed(lost: readonly LostCall[]): void {
    const fields = {
      instance: lost[0]?.instanceId ?? '',
      requests: lost.map(({ call }) => call.frame.requestId).join(),
    };
    this.options.log({ event: GateEventName.ServerCrashed, fields });
    const runs = lost.map(({ call: { frame, startedAt }, lostAt }) => ({
      crashedAt: lostAt,
      request: frame,
      runMilliseconds: lostAt - startedAt,
    }));
    runs.sort((first, second) => first.runMilliseconds - second.runMilliseconds);
    this.options.port.onServerCrashed(runs);
  }

  /** Sends a health check, whose answer shows whether the server is cold. */
  private checkColdness(now: number): void {
    if (!this.probes.tryTake(now)) return;
    this.coldStartGuard.onHealthCheckSent(now);
    this.options.port.probe();
  }

  /** Returns whether the rate has changed. */
  private setRequestRate(requestsPerSecond: number, now: number): boolean {
    if (!this.requestRate.setRate(requestsPerSecond, now)) return false;
    const fields = {
      perSecond: this.statedRequestsPerSecond ?? 'unlimited',
      running: this.running,
      waiting: this.queue.size,
    };
    this.options.log({ event: GateEventName.ServerLimitChanged, fields });
    return true;
  }

  private onSlowdownReported(slowdown: number, now: number): void {
    const lastReportAt = now - this.speed.reportAge(now);
    this.speed.recordSlowdown(slowdown, now);
    if (this.speed.state(now) !== SpeedState.Slow) return;
    // The slowdown began at some time since the last report, possibly before these requests started.
    for (const call of this.calls.runningCalls()) {
      if (call.startedAt > lastReportAt) call.isFastAtStart = false;
    }
  }

  private sweep(now: number): void {
    this.nextSweepAt = now + sweepIntervalMilliseconds;
    this.calls.removeExpired(now);
    for (const call of this.calls.runningCalls()) {
      if (now - call.deadline > abortGraceMilliseconds) this.options.port.abort(call.executionId);
    }
  }

  private immediateDeclineReason(call: GateCall, now: number): DeclineReason | undefined {
    if (!call.hasMemory) return DeclineReason.QueueFull;
    const { frame } = call;
    const mayOutlastProcess = call.deadline > (this.stopSchedule?.exitsAt ?? Infinity);
    if (this.isClosed || mayOutlastProcess) return DeclineReason.Draining;
    switch (this.state) {
      case ServerState.Absent:
        return DeclineReason.NoServer;
      case ServerState.Draining:
        return DeclineReason.Draining;
      case ServerState.Evacuated:
        return DeclineReason.ZoneEvacuated;
      case ServerState.Ready:
    }
    if (frame.service !== this.options.service) return DeclineReason.WrongService;
    if (!this.keyLeases.mayStart(call)) return DeclineReason.KeyUnproven;
    if (this.screening.isQuarantined(frame, now)) return DeclineReason.Quarantined;
    if (frame.remainingMilliseconds >= this.estimator.minimumMilliseconds(frame.routeName))
      return undefined;
    call.isTrial = this.isTrialDue(frame, now);
    return call.isTrial ? undefined : DeclineReason.DeadlineTooShort;
  }

  private isIdleFor(milliseconds: number, now: number): boolean {
    return this.inProgress === 0 && now - this.lastActivityAt > milliseconds;
  }

  private isTrialDue({ remainingMilliseconds }: StartFrame, now: number): boolean {
    return (
      remainingMilliseconds >= minimumTrialMilliseconds &&
      this.isIdleFor(trialIdleMilliseconds, now)
    );
  }

  /**
   * Whether an idle gate should probe a slow server. Without requests no response shows that the server has
   * recovered, and other nodes send no requests here until they know that it has.
   */
  private isIdleProbeDue(now: number): boolean {
    return (
      this.state === ServerState.Ready &&
      this.speed.baselineSlowdown > 1 &&
      this.speed.reportAge(now) > idleProbeIntervalMilliseconds &&
      this.isIdleFor(idleProbeIntervalMilliseconds, now)
    );
  }

  private isTooLate({ deadline, frame, isTrial }: GateCall, now: number): boolean {
    const needed = isTrial
      ? shortestUsefulMilliseconds
      : this.estimator.minimumMilliseconds(frame.routeName);
    return deadline - now < needed;
  }

  private admit(call: GateCall, now: number): void {
    const waiting = toWaitingRequest(call, now);
    this.order.recordArrival(waiting, now);
    const isFree =
      this.isNextToStart(waiting, now) &&
      this.order.hasSlot(waiting, this.roomFor(call.frame, now), now) &&
      this.waitForStart(1, now) === 0 &&
      this.mayStart(call.frame, now);
    if (!isFree) {
      const room = this.roomFor(call.frame, now);
      const expected = this.order.expectedAnswer(waiting, room, now);
      if (call.frame.optional) {
        this.decline(call, DeclineReason.Busy, expected, now);
        return;
      }
      if (!this.order.mayWait(waiting, room, now)) {
        this.decline(call, DeclineReason.QueueFull, expected, now);
        return;
      }
    }
    this.queue.add(waiting);
    this.startQueued(now);
  }

  /** Whether a request may start ahead of the waiting ones: if those only wait since a slot is kept free. */
  private isNextToStart(waiting: WaitingRequest, now: number): boolean {
    const first = this.order.next(now, this.isNestedFirst, () => true);
    if (first === undefined) return true;
    return (
      !this.order.hasSlot(first, this.roomFor(first.frame, now), now) &&
      this.order.isFirst(waiting, now)
    );
  }

  private limitFor(frame: StartFrame): number {
    const { slots } = this.serverTracker;
    const limit = frame.nested
      ? this.concurrencyLimit.nestedLimit(slots)
      : this.concurrencyLimit.limit(slots);
    return this.hasServerResponded ? limit : Math.min(limit, maximumRunningBeforeResponse);
  }

  /** Time until the server may receive the request at a position of the queue, counted from 1. */
  private waitForStart(position: number, now: number): number {
    return Math.max(
      this.coldStartGuard.waitForStart(position, now),
      this.requestRate.waitForStart(position, now),
    );
  }

  private roomFor(frame: StartFrame, now: number): ServerRoom {
    return this.roomWithin(this.limitFor(frame), now);
  }

  private roomWithin(limit: number, now: number): ServerRoom {
    const remaining: number[] = [];
    for (const { frame, startedAt } of this.calls.runningCalls()) {
      const expected = this.estimator.expectedServiceMilliseconds(frame.routeName);
      remaining.push(remainingWork(expected, now - startedAt));
    }
    return {
      limit,
      nestedLimit: this.concurrencyLimit.nestedLimit(this.serverTracker.slots),
      running: this.running,
      meanWork: this.estimator.meanServiceMilliseconds,
      remainingWork: remaining,
      startIntervalMilliseconds:
        this.queue.size === 0 ? undefined : this.startIntervalEstimator.intervalMilliseconds(now),
      waitForStart: (position) =>
        Math.max(
          this.coldStartGuard.expectedWaitForStart(position, now),
          this.requestRate.waitForStart(position, now),
        ),
    };
  }

  /**
   * Whether nested calls precede requests of callers. They do, because their parents hold slots of other
   * servers, but only until they use half of the slots: their parents may be less urgent than waiting requests
   * of callers.
   */
  private get isNestedFirst(): boolean {
    return this.nestedRunning * 2 < this.concurrencyLimit.limit(this.serverTracker.slots);
  }

  private startQueued(now: number): void {
    if (this.state !== ServerState.Ready) return;
    while (this.queue.size > 0 && this.waitForStart(1, now) === 0) {
      const next = this.order.next(now, this.isNestedFirst, ({ frame }) =>
        this.mayStart(frame, now),
      );
      if (next === undefined) return;
      if (!this.order.hasSlot(next, this.roomFor(next.frame, now), now)) return;
      const speed = this.currentSpeed(now);
      if (speed === SpeedState.Slow && next.frame.optional) {
        this.declineQueuedOptional(now);
        continue;
      }
      if (speed !== SpeedState.Fast && now < this.latestStart(next)) return;
      this.queue.remove(next.executionId);
      const call = this.calls.findByExecutionId(next.executionId);
      if (call === undefined) continue;
      if (this.isTooLate(call, now)) {
        this.decline(call, DeclineReason.DeadlineTooShort, 0, now);
      } else if (!this.keyLeases.mayStart(call)) {
        this.decline(call, DeclineReason.KeyUnproven, 0, now);
      } else this.run(call, now);
    }
  }

  /** Whether a request may run beside those that are running, given the crashes that it may have caused. */
  private mayStart(frame: StartFrame, now: number): boolean {
    return this.screening.mayStart(frame, this.calls.runningFrames(), now);
  }

  /** The speed of the server. Sends a probe if the last report is too old. */
  private currentSpeed(now: number): SpeedState {
    const state = this.speed.state(now);
    if (state !== SpeedState.Unknown || !this.speed.hasReports) {
      return state === SpeedState.Slow ? state : SpeedState.Fast;
    }
    if (this.probes.isProbePending(now)) return state;
    if (!this.probes.tryTake(now)) return SpeedState.Fast;
    this.options.port.probe();
    return state;
  }

  /** The latest time until which a request waits for a slowdown to end; after that it starts in spite of it. */
  private latestStart({ enqueuedAt, frame, targetAt }: WaitingRequest): number {
    const expected = this.estimator.expectedServiceMilliseconds(frame.routeName);
    const latestInTime = targetAt - expected * this.speed.relativeSlowdown;
    if (latestInTime >= enqueuedAt) return latestInTime;
    const maximumWait = frame.nested ? nestedSlowdownWaitMilliseconds : slowdownWaitMilliseconds;
    return Math.max(targetAt - expected, enqueuedAt + maximumWait);
  }

  /** Declines optional requests during a slowdown, since other gates may serve them sooner. */
  private declineQueuedOptional(now: number): void {
    for (const waiting of [...this.queue.values()]) {
      if (!waiting.frame.optional) continue;
      const expected =
        slowdownRemainderMilliseconds +
        this.estimator.expectedServiceMilliseconds(waiting.frame.routeName);
      this.declineQueued(waiting, DeclineReason.Busy, expected, now);
    }
  }

  private run(call: GateCall, now: number): void {
    const { instanceId } = this.serverTracker;
    if (instanceId === undefined) {
      this.decline(call, DeclineReason.NoServer, 0, now);
      return;
    }
    call.state = 'running';
    call.startedAt = now;
    const { deadline, executionId, frame } = call;
    this.running += 1;
    this.concurrencyLimit.recordRunning(this.serverTracker.slots, this.running, now);
    this.lastActivityAt = now;
    this.coldStartGuard.recordStart(now);
    this.requestRate.recordStart(now);
    if (frame.nested) this.nestedRunning += 1;
    else if (now - call.arrivedAt > 0) this.startIntervalEstimator.recordStart(now);
    call.runningAtStart = this.running;
    call.crowdedMillisecondsAtStart = this.concurrencyLimit.crowdedMilliseconds(now);
    call.isCrowdedAtStart = this.concurrencyLimit.isCrowded;
    call.isFastAtStart = this.speed.state(now) === SpeedState.Fast;
    call.slowdownAtStart = this.speed.hasReports ? this.speed.currentSlowdown : 1;
    const execution: Execution = { deadline, executionId, frame, instanceId };
    call.slowdownAgeAtStart = this.speed.reportAge(now);
    this.gateLog.requestStarted(call, this.limitFor(frame));
    this.options.port.run(execution);
  }

  private decline(call: GateCall, reason: DeclineReason, expected: number, now: number): void {
    const details = {
      expected,
      limit: this.limitFor(call.frame),
      needed: this.estimator.minimumMilliseconds(call.frame.routeName),
      reason,
      running: this.running,
      waiting: this.queue.size,
    };
    this.gateLog.requestDeclined(call, details, now);
    const decline = { expectedMilliseconds: expected, reason };
    this.finish(call, this.declinedFrame(call.frame, decline, now), now);
  }

  private declinedFrame(
    { callId, routeName }: StartFrame,
    { expectedMilliseconds, reason }: Decline,
    now: number,
  ): ReplyFrame {
    return {
      callId,
      expectedMilliseconds,
      kind: 'declined',
      load: this.load(now, routeName),
      reason,
    };
  }

  private declineAllQueued(reason: DeclineReason, now: number): void {
    for (const waiting of [...this.queue.values()]) this.declineQueued(waiting, reason, 0, now);
  }

  private declineQueued(
    { executionId }: WaitingRequest,
    reason: DeclineReason,
    expected: number,
    now: number,
  ): void {
    this.queue.remove(executionId);
    const call = this.calls.findByExecutionId(executionId);
    if (call !== undefined) this.decline(call, reason, expected, now);
  }

  private finish(call: GateCall, reply: ReplyFrame | undefined, now: number): void {
    this.calls.finish(call, reply, now);
    if (reply !== undefined) this.options.port.reply(call.from, call.boot, reply);
  }

  private applyEffect(
    effect: ReportEffect,
    instanceId: string,
    evidence: ServerEvidence,
    now: number,
  ): void {
    const { log, port } = this.options;
    switch (effect) {
      case ReportEffect.Unchanged:
        return;
      case ReportEffect.Ignored:
        log({ event: GateEventName.ServerReportIgnored, fields: { instance: instanceId } });
        return;
      case ReportEffect.Ended:
        log({
          event: GateEventName.ServerNotUsed,
          fields: { evidence, instance: instanceId, reason: ServerNotUsedReason.Left },
        });
        return;
      case ReportEffect.Started:
        this.setRequestRate(Infinity, now);
        log({
          event: GateEventName.ServerReady,
          fields: { evidence, instance: instanceId, slots: this.serverTracker.slots },
        });
        port.onStateChanged();
        return;
      case ReportEffect.Draining:
        log({
          event: GateEventName.ServerDraining,
          fields: { instance: instanceId, running: this.running, waiting: this.queue.size },
        });
        this.declineAllQueued(DeclineReason.Draining, now);
        port.onStateChanged();
    }
  }
}
