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
  TenantOccupation,
} from './gate-contract.js';
import { GateQueue } from './gate-queue.js';
import type { WaitingRequest } from './gate-queue.js';
import { defaultGateSettings } from './gate-settings.js';
import type { GateSettings } from './gate-settings.js';
import { GradientConcurrencyLimit } from './gradient-concurrency-limit.js';
import { RefusalComposer } from './refusal-composer.js';
import { TenantShares } from './tenant-shares.js';
import type { TenantAccount } from './tenant-shares.js';
import { UpstreamCapacity } from './upstream-capacity.js';
import type { StartedRequest } from './upstream-capacity.js';

interface RunningRequest extends StartedRequest {
  readonly account: TenantAccount;
}

const noDecisions: readonly GateDecision[] = [];

/**
 * Decides what runs at the local upstream.
 * Draining is the node's fact and outlives announcements and departures of the upstream. Whoever
 * ends executions passes `failed` for answers that stand for a failure (5xx) as well.
 */
export class Gate implements GateContract {
  private readonly running = new Map<number, RunningRequest>();
  private readonly shares = new TenantShares();
  private readonly queue = new GateQueue(this.shares);
  private readonly capacity: UpstreamCapacity;
  private readonly composer: RefusalComposer;
  private draining = false;
  private queueLength: number | undefined;
  private maximumTenantInFlight = Number.POSITIVE_INFINITY;

  public constructor(
    private readonly settings: GateSettings = defaultGateSettings,
    concurrency: ConcurrencyLimit = new GradientConcurrencyLimit(settings.concurrencyLimit),
  ) {
    this.capacity = new UpstreamCapacity(settings, concurrency);
    this.composer = new RefusalComposer(settings, this.capacity);
  }

  public tenantUse(): readonly TenantOccupation[] {
    return this.shares.uses();
  }

  public get occupied(): number {
    return this.running.size + this.queue.size;
  }

  public configure(
    configuration: ServiceConfiguration,
    now: ClockReading,
  ): readonly GateDecision[] {
    this.shares.configure(configuration.tenants);
    this.capacity.configureRamp(configuration.rampMilliseconds);
    this.queueLength = configuration.queueLength;
    this.maximumTenantInFlight = configuration.maximumTenantInFlight ?? Number.POSITIVE_INFINITY;
    return this.startWaiting(now.monotonic);
  }

  public announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly GateDecision[] {
    const decisions: GateDecision[] = [];
    if (this.capacity.isNew(announcement)) {
      this.refuseWaiting(RefusalReason.NotServingService, now.monotonic, decisions);
    }
    this.capacity.announce(announcement, now.monotonic);
    return this.startWaiting(now.monotonic, decisions);
  }

  public setDraining(draining: boolean, now: ClockReading): readonly GateDecision[] {
    this.draining = draining;
    if (!draining) return noDecisions;
    return this.refuseWaiting(RefusalReason.Draining, now.monotonic);
  }

  public leave(now: ClockReading): readonly GateDecision[] {
    const decisions = this.refuseWaiting(RefusalReason.NotServingService, now.monotonic);
    this.capacity.leave();
    return decisions;
  }

  public offer(request: GateRequest, now: ClockReading): readonly GateDecision[] {
    const time = now.monotonic;
    assertInvariant(
      !this.running.has(request.executionId) && !this.queue.has(request.executionId),
      `execution ${request.executionId} was offered twice`,
    );
    const reason = this.closedReason(request, time);
    if (reason !== undefined) return [this.refusal(request.executionId, reason, time)];
    const decisions = this.startWaiting(time);
    const account = this.shares.open(request.tenant);
    this.admit(request, account, time, decisions);
    this.shares.close(account);
    return decisions;
  }

  public finished(
    executionId: number,
    end: ExecutionEnd,
    now: ClockReading,
  ): readonly GateDecision[] {
    const time = now.monotonic;
    const finished = this.running.get(executionId);
    if (finished === undefined) return noDecisions;
    this.capacity.ended({ ...finished, executionId }, end, time);
    this.running.delete(executionId);
    finished.account.running -= 1;
    this.shares.close(finished.account);
    if (this.capacity.health.isDown) return this.refuseWaiting(RefusalReason.UpstreamDown, time);
    return this.startWaiting(time);
  }

  public cancelWaiting(executionId: number): boolean {
    const waiting = this.queue.remove(executionId);
    if (waiting === undefined) return false;
    this.shares.close(waiting.account);
    return true;
  }

  public polled(
    healthy: boolean,
    inFlight: number | undefined,
    now: ClockReading,
  ): readonly GateDecision[] {
    const time = now.monotonic;
    this.capacity.polled(healthy, inFlight, time);
    if (this.capacity.health.isDown) return this.refuseWaiting(RefusalReason.UpstreamDown, time);
    return this.startWaiting(time);
  }

  public tick(now: ClockReading): readonly GateDecision[] {
    if (this.queue.size === 0) return noDecisions;
    const time = now.monotonic;
    const decisions = this.startWaiting(time);
    const latestStart = time + this.capacity.estimate.shortestMilliseconds;
    for (;;) {
      const late = this.queue.dueBy(latestStart);
      if (late === undefined) return decisions;
      this.refuseOne(late, RefusalReason.NoSlot, time, decisions);
    }
  }

  public load(now: ClockReading): LoadReport | undefined {
    return this.composer.loadReport(this.queue.size, this.draining, now.monotonic);
  }

  /** Why no request of this kind starts or waits now, whatever the load. */
  private closedReason(request: GateRequest, now: number): RefusalReason | undefined {
    if (request.service !== this.capacity.service) return RefusalReason.NotServingService;
    if (this.draining) return RefusalReason.Draining;
    if (this.capacity.health.isDown && !this.canTry(now)) return RefusalReason.UpstreamDown;
    return request.deadline <= now ? RefusalReason.DeadlineTooShort : undefined;
  }

  private canTry(now: number): boolean {
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
      decisions.push(this.refusal(request.executionId, RefusalReason.TenantLimit, now, wait));
      return;
    }
    if (this.capacity.health.isDown) {
      this.capacity.health.trialStarted(request.executionId);
      this.start(request, account, now, decisions);
      return;
    }
    if (this.isTooLate(request.deadline, now)) {
      decisions.push(this.refusal(request.executionId, RefusalReason.DeadlineTooShort, now));
    } else if (this.running.size < this.capacity.limit(now)) {
      this.start(request, account, now, decisions);
    } else {
      this.enqueue(request, account, now, decisions);
    }
  }

  /** An idle upstream is always asked, because only an answer corrects an estimate that is too long. */
  private isTooLate(deadline: number, now: number): boolean {
    const needed = this.running.size === 0 ? 0 : this.capacity.estimate.shortestMilliseconds;
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
    const ahead = this.queue.ahead(account, request.deadline, limit);
    const wait = (serviceTime * (ahead + 1)) / limit;
    if (request.deadline - now < wait + serviceTime) {
      decisions.push(this.refusal(request.executionId, this.busyReason('no-slot', now), now, wait));
      return;
    }
    const room = this.queue.roomFor(account, this.queueCapacity);
    if (room.kind === 'full' || room.kind === 'over-share') {
      decisions.push(this.queueRefusal(request, account, room.kind, now));
      return;
    }
    if (room.kind === 'evict') {
      this.refuseOne(room.victim, RefusalReason.TenantOverShare, now, decisions);
    }
    this.queue.add(request, account);
  }

  private get queueCapacity(): number {
    return this.queueLength ?? this.capacity.slots * this.settings.queuePerSlot;
  }

  /** While the ramp holds slots back, a lack of room comes from the cold start. */
  private busyReason(reason: 'no-slot' | 'queue-full', now: number): RefusalReason {
    return this.capacity.isRamping(now) ? RefusalReason.WarmingUp : reason;
  }

  private queueRefusal(
    request: GateRequest,
    account: TenantAccount,
    kind: 'full' | 'over-share',
    now: number,
  ): GateDecision {
    if (kind === 'full') {
      return this.refusal(request.executionId, this.busyReason('queue-full', now), now);
    }
    const limit = this.capacity.limit(now);
    const share = Math.max(1, this.shares.shareOf(account, limit));
    const wait = (this.capacity.serviceTimeMilliseconds(now) * (account.waiting.size + 1)) / share;
    return this.refusal(request.executionId, RefusalReason.TenantOverShare, now, wait);
  }

  private start(
    request: GateRequest,
    account: TenantAccount,
    now: number,
    decisions: GateDecision[],
  ): void {
    const started = this.capacity.started(request.deadline, now);
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
        this.refuseOne(waiting, RefusalReason.NoSlot, now, decisions);
        continue;
      }
      this.queue.remove(waiting.request.executionId);
      this.start(waiting.request, waiting.account, now, decisions);
    }
    return decisions;
  }

  private refuseWaiting(
    reason: RefusalReason,
    now: number,
    decisions: GateDecision[] = [],
  ): readonly GateDecision[] {
    for (let waiting = this.queue.any(); waiting !== undefined; waiting = this.queue.any()) {
      this.refuseOne(waiting, reason, now, decisions);
    }
    return decisions;
  }

  private refuseOne(
    waiting: WaitingRequest,
    reason: RefusalReason,
    now: number,
    decisions: GateDecision[],
  ): void {
    this.queue.remove(waiting.request.executionId);
    this.shares.close(waiting.account);
    decisions.push(this.refusal(waiting.request.executionId, reason, now));
  }

  private refusal(
    executionId: number,
    reason: RefusalReason,
    now: number,
    wait = this.expectedWait(now),
  ): GateDecision {
    const load = this.composer.loadReport(this.queue.size, this.draining, now);
    return { executionId, kind: 'refuse', refusal: this.composer.refusal(reason, wait, load, now) };
  }

  /** Time until a request behind the whole queue would start. */
  private expectedWait(now: number): number {
    const serviceTime = this.capacity.serviceTimeMilliseconds(now);
    return (serviceTime * (this.queue.size + 1)) / this.capacity.limit(now);
  }
}
