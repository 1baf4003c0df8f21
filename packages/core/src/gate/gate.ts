import type { LoadReport } from '../messages/load-report.js';
import type { UpstreamAnnouncement } from '../messages/member.js';
import { RefusalReason } from '../messages/outcome.js';
import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { assertInvariant } from '../shared/invariant-error.js';
import type { ConcurrencyLimit } from './concurrency-limit.js';
import type {
  ExecutionEnd,
  GateContract,
  GateDecision,
  GateRequest,
  TenantUsage,
} from './gate-contract.js';
import { GateQueue } from './gate-queue.js';
import type { WaitingRequest } from './gate-queue.js';
import { defaultGateSettings } from './gate-settings.js';
import type { GateSettings } from './gate-settings.js';
import { GradientConcurrencyLimit } from './gradient-concurrency-limit.js';
import { RefusalBuilder } from './refusal-builder.js';
import { TenantShares } from './tenant-shares.js';
import type { TenantAccount } from './tenant-shares.js';
import { UpstreamCapacity } from './upstream-capacity.js';
import type { StartedRequest } from './upstream-capacity.js';

interface RunningRequest extends StartedRequest {
  readonly account: TenantAccount;
}

const noDecisions: readonly GateDecision[] = [];

/**
 * Admission control in front of the local upstream: starts, queues or refuses requests.
 * Draining is a state of the node; it is not reset when an upstream announces itself or departs. For a
 * response that signals a failure (5xx), callers of `onFinished` pass `failed`.
 */
export class Gate implements GateContract {
  private readonly running = new Map<number, RunningRequest>();
  private readonly shares = new TenantShares();
  private readonly queue = new GateQueue(this.shares);
  private readonly capacity: UpstreamCapacity;
  private readonly refusalBuilder: RefusalBuilder;
  private isDraining = false;
  private configuredQueueLength: number | undefined;
  private maximumTenantInFlight = Number.POSITIVE_INFINITY;

  public constructor(
    private readonly settings: GateSettings = defaultGateSettings,
    concurrency: ConcurrencyLimit = new GradientConcurrencyLimit(settings.concurrencyLimit),
  ) {
    this.capacity = new UpstreamCapacity(settings, concurrency);
    this.refusalBuilder = new RefusalBuilder(settings, this.capacity);
  }

  public tenantUsage(): readonly TenantUsage[] {
    return this.shares.usage();
  }

  public get requestCount(): number {
    return this.running.size + this.queue.size;
  }

  public configure(
    configuration: ServiceConfiguration,
    now: ClockReading,
  ): readonly GateDecision[] {
    this.shares.configure(configuration.tenants);
    this.capacity.configureSlowStart(configuration.rampMilliseconds);
    this.configuredQueueLength = configuration.queueLength;
    this.maximumTenantInFlight = configuration.maximumTenantInFlight ?? Number.POSITIVE_INFINITY;
    return this.startWaiting(now.monotonic);
  }

  public announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly GateDecision[] {
    const decisions: GateDecision[] = [];
    if (this.capacity.isNew(announcement)) {
      this.refuseAllWaiting(RefusalReason.NotServingService, now.monotonic, decisions);
    }
    this.capacity.announce(announcement, now.monotonic);
    return this.startWaiting(now.monotonic, decisions);
  }

  public setDraining(isDraining: boolean, now: ClockReading): readonly GateDecision[] {
    this.isDraining = isDraining;
    if (!isDraining) return noDecisions;
    return this.refuseAllWaiting(RefusalReason.Draining, now.monotonic);
  }

  public onUpstreamLeft(now: ClockReading): readonly GateDecision[] {
    const decisions = this.refuseAllWaiting(RefusalReason.NotServingService, now.monotonic);
    this.capacity.onUpstreamLeft();
    return decisions;
  }

  public submit(request: GateRequest, now: ClockReading): readonly GateDecision[] {
    const time = now.monotonic;
    assertInvariant(
      !this.running.has(request.executionId) && !this.queue.has(request.executionId),
      `execution ${request.executionId} was submitted twice`,
    );
    const reason = this.unconditionalRefusalReason(request, time);
    if (reason !== undefined) return [this.refuse(request.executionId, reason, time)];
    const decisions = this.startWaiting(time);
    const account = this.shares.open(request.tenant);
    this.admit(request, account, time, decisions);
    this.shares.close(account);
    return decisions;
  }

  public onFinished(
    executionId: number,
    end: ExecutionEnd,
    now: ClockReading,
  ): readonly GateDecision[] {
    const time = now.monotonic;
    const request = this.running.get(executionId);
    if (request === undefined) return noDecisions;
    this.capacity.onEnded({ ...request, executionId }, end, time);
    this.running.delete(executionId);
    request.account.running -= 1;
    this.shares.close(request.account);
    if (this.capacity.health.isDown) return this.refuseAllWaiting(RefusalReason.UpstreamDown, time);
    return this.startWaiting(time);
  }

  public cancelWaiting(executionId: number): boolean {
    const waiting = this.queue.remove(executionId);
    if (waiting === undefined) return false;
    this.shares.close(waiting.account);
    return true;
  }

  public onPolled(
    isHealthy: boolean,
    inFlight: number | undefined,
    now: ClockReading,
  ): readonly GateDecision[] {
    const time = now.monotonic;
    this.capacity.onPolled(isHealthy, inFlight, time);
    if (this.capacity.health.isDown) return this.refuseAllWaiting(RefusalReason.UpstreamDown, time);
    return this.startWaiting(time);
  }

  public tick(now: ClockReading): readonly GateDecision[] {
    if (this.queue.size === 0) return noDecisions;
    const time = now.monotonic;
    const decisions = this.startWaiting(time);
    const earliestFinish = time + this.capacity.serviceTimeEstimate.shortestMilliseconds;
    for (;;) {
      const waiting = this.queue.dueBy(earliestFinish);
      if (waiting === undefined) return decisions;
      this.refuseWaitingRequest(waiting, RefusalReason.NoSlot, time, decisions);
    }
  }

  public loadReport(now: ClockReading): LoadReport | undefined {
    return this.refusalBuilder.buildLoadReport(this.queue.size, this.isDraining, now.monotonic);
  }

  /** Reason to refuse a request regardless of the load, undefined if there is none. */
  private unconditionalRefusalReason(request: GateRequest, now: number): RefusalReason | undefined {
    if (request.service !== this.capacity.service) return RefusalReason.NotServingService;
    if (this.isDraining) return RefusalReason.Draining;
    if (this.capacity.health.isDown && !this.canStartTrial(now)) return RefusalReason.UpstreamDown;
    return request.deadline <= now ? RefusalReason.DeadlineTooShort : undefined;
  }

  private canStartTrial(now: number): boolean {
    return this.capacity.health.isTrialDue(now) && this.running.size < this.capacity.slots;
  }

  private admit(
    request: GateRequest,
    account: TenantAccount,
    now: number,
    decisions: GateDecision[],
  ): void {
    if (account.running + account.waiting.size >= this.maximumTenantInFlight) {
      const wait = this.capacity.serviceTimeMilliseconds(now);
      decisions.push(this.refuse(request.executionId, RefusalReason.TenantLimit, now, wait));
      return;
    }
    if (this.capacity.health.isDown) {
      this.capacity.health.onTrialStarted(request.executionId);
      this.start(request, account, now, decisions);
      return;
    }
    if (this.isTooLate(request.deadline, now)) {
      decisions.push(this.refuse(request.executionId, RefusalReason.DeadlineTooShort, now));
    } else if (this.running.size < this.capacity.limit(now)) {
      this.start(request, account, now, decisions);
    } else {
      this.enqueue(request, account, now, decisions);
    }
  }

  /**
   * Whether a request can no longer finish by its deadline. The estimate is ignored while the upstream
   * is idle, because only a new answer can correct an estimate that is too long.
   */
  private isTooLate(deadline: number, now: number): boolean {
    const needed =
      this.running.size === 0 ? 0 : this.capacity.serviceTimeEstimate.shortestMilliseconds;
    return deadline <= now || deadline - now < needed;
  }

  private enqueue(
    request: GateRequest,
    account: TenantAccount,
    now: number,
    decisions: GateDecision[],
  ): void {
    const limit = this.capacity.limit(now);
    const serviceTime = this.capacity.serviceTimeMilliseconds(now);
    const ahead = this.queue.countAhead(account, request.deadline, limit);
    const wait = (serviceTime * (ahead + 1)) / limit;
    if (request.deadline - now < wait + serviceTime) {
      decisions.push(this.refuse(request.executionId, this.busyReason('no-slot', now), now, wait));
      return;
    }
    const room = this.queue.checkAdmission(account, this.queueCapacity);
    if (room.kind === 'full' || room.kind === 'over-share') {
      decisions.push(this.queueRefusal(request, account, room.kind, now));
      return;
    }
    if (room.kind === 'evict') {
      this.refuseWaitingRequest(room.victim, RefusalReason.TenantOverShare, now, decisions);
    }
    this.queue.add(request, account);
  }

  private get queueCapacity(): number {
    return this.configuredQueueLength ?? this.capacity.slots * this.settings.queuePerSlot;
  }

  /** During slow start, a lack of capacity is reported as `warming-up`. */
  private busyReason(reason: 'no-slot' | 'queue-full', now: number): RefusalReason {
    return this.capacity.isInSlowStart(now) ? RefusalReason.WarmingUp : reason;
  }

  private queueRefusal(
    request: GateRequest,
    account: TenantAccount,
    kind: 'full' | 'over-share',
    now: number,
  ): GateDecision {
    if (kind === 'full') {
      return this.refuse(request.executionId, this.busyReason('queue-full', now), now);
    }
    const limit = this.capacity.limit(now);
    const share = Math.max(1, this.shares.shareOf(account, limit));
    const wait = (this.capacity.serviceTimeMilliseconds(now) * (account.waiting.size + 1)) / share;
    return this.refuse(request.executionId, RefusalReason.TenantOverShare, now, wait);
  }

  private start(
    request: GateRequest,
    account: TenantAccount,
    now: number,
    decisions: GateDecision[],
  ): void {
    const started = this.capacity.onStarted(request.deadline, now);
    this.running.set(request.executionId, { account, ...started });
    account.running += 1;
    decisions.push({ executionId: request.executionId, kind: 'start' });
  }

  private startWaiting(now: number, decisions: GateDecision[] = []): GateDecision[] {
    while (this.queue.size > 0) {
      const limit = this.capacity.limit(now);
      if (this.running.size >= limit) break;
      const waiting = this.queue.next(limit);
      if (waiting === undefined) break;
      if (this.isTooLate(waiting.deadline, now)) {
        this.refuseWaitingRequest(waiting, RefusalReason.NoSlot, now, decisions);
        continue;
      }
      this.queue.remove(waiting.request.executionId);
      this.start(waiting.request, waiting.account, now, decisions);
    }
    return decisions;
  }

  private refuseAllWaiting(
    reason: RefusalReason,
    now: number,
    decisions: GateDecision[] = [],
  ): readonly GateDecision[] {
    for (let waiting = this.queue.any(); waiting !== undefined; waiting = this.queue.any()) {
      this.refuseWaitingRequest(waiting, reason, now, decisions);
    }
    return decisions;
  }

  private refuseWaitingRequest(
    waiting: WaitingRequest,
    reason: RefusalReason,
    now: number,
    decisions: GateDecision[],
  ): void {
    this.queue.remove(waiting.request.executionId);
    this.shares.close(waiting.account);
    decisions.push(this.refuse(waiting.request.executionId, reason, now));
  }

  private refuse(
    executionId: number,
    reason: RefusalReason,
    now: number,
    wait = this.expectedWait(now),
  ): GateDecision {
    const load = this.refusalBuilder.buildLoadReport(this.queue.size, this.isDraining, now);
    return {
      executionId,
      kind: 'refuse',
      refusal: this.refusalBuilder.buildRefusal(reason, wait, load, now),
    };
  }

  /** Expected time until a request at the end of the queue would start. */
  private expectedWait(now: number): number {
    const serviceTime = this.capacity.serviceTimeMilliseconds(now);
    return (serviceTime * (this.queue.size + 1)) / this.capacity.limit(now);
  }
}
