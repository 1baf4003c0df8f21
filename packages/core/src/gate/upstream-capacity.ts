import type { UpstreamAnnouncement } from '../messages/member.js';
import { serviceDefaults } from '../messages/service-configuration.js';
import { ColdStartRamp } from './cold-start-ramp.js';
import type { ConcurrencyLimit } from './concurrency-limit.js';
import { ExecutionEnd } from './gate-contract.js';
import type { GateSettings } from './gate-settings.js';
import { PolledLoad } from './polled-load.js';
import { ServiceTimeEstimate } from './service-time-estimate.js';
import { UpstreamHealth } from './upstream-health.js';

/**
 * An upstream that was idle for this long may have recovered since its last results; entries that avoid
 * it for them would never find out. Shunned targets get a trial as often.
 */
const reportedLatencyValidMilliseconds = 10_000;

/** A request that runs at the upstream. */
export interface StartedRequest {
  readonly startedAt: number;
  readonly deadline: number;
  /** Requests that ran when this one had started, itself included. */
  readonly inFlightAtStart: number;
}

/** A request that has ended at the upstream. */
export interface EndedRequest extends StartedRequest {
  readonly executionId: number;
}

/** What the gate knows of its upstream: announcement, health, service time and concurrency. */
export class UpstreamCapacity {
  public readonly estimate: ServiceTimeEstimate;
  public readonly health: UpstreamHealth;
  private readonly polledLoad: PolledLoad;
  private readonly ramp: ColdStartRamp;
  private announced: UpstreamAnnouncement | undefined;
  private running = 0;
  /** Last time at which a request started or ended. */
  private progressAt = 0;

  public constructor(
    private readonly settings: GateSettings,
    private readonly concurrency: ConcurrencyLimit,
  ) {
    this.estimate = new ServiceTimeEstimate(
      settings.latencySmoothing,
      settings.shortestServiceTimeSamples,
    );
    this.health = new UpstreamHealth(settings);
    this.polledLoad = new PolledLoad(
      settings.polledLoadMilliseconds,
      settings.polledLoadMaximumShare,
    );
    this.ramp = new ColdStartRamp(
      settings.rampStartShare,
      settings.rampAnswersPerSlot,
      serviceDefaults.rampMilliseconds,
    );
  }

  /** The service of the announced upstream. */
  public get service(): string | undefined {
    return this.announced?.service;
  }

  /** The announced slots. */
  public get slots(): number {
    return this.announced?.slots ?? 1;
  }

  /** Requests that the upstream runs for this gate. */
  public get inFlight(): number {
    return this.running;
  }

  public configureRamp(rampMilliseconds: number): void {
    this.ramp.configure(rampMilliseconds);
  }

  /** Whether the announcement comes from another upstream than the last one. */
  public isNew(announcement: UpstreamAnnouncement): boolean {
    const last = this.announced;
    return last?.service !== announcement.service || last.address !== announcement.address;
  }

  /** An upstream that was known and is up may repeat its announcement without another cold start. */
  public announce(announcement: UpstreamAnnouncement, now: number): void {
    const isNew = this.isNew(announcement);
    if (isNew) this.estimate.reset();
    if (isNew || this.health.isDown) this.ramp.start(now);
    this.concurrency.announce(announcement.slots, isNew);
    this.health.reset();
    this.announced = announcement;
  }

  public leave(): void {
    this.announced = undefined;
  }

  /** How many requests may run at once now: ramped, learned or free of others, the lowest. */
  public limit(now: number): number {
    const slots = this.slots;
    const free = slots - this.polledLoad.slotsTaken(slots, now);
    return Math.max(1, Math.min(this.ramp.limit(slots, now), this.concurrency.limit, free));
  }

  /** Whether the cold start holds slots back. */
  public isRamping(now: number): boolean {
    return this.ramp.limit(this.slots, now) < this.slots;
  }

  public started(deadline: number, now: number): StartedRequest {
    if (this.isReportedLatencyOld(now)) this.estimate.forgetReported();
    this.running += 1;
    this.progressAt = now;
    this.polledLoad.running(this.running);
    return { deadline, inFlightAtStart: this.running, startedAt: now };
  }

  public ended(request: EndedRequest, end: ExecutionEnd, now: number): void {
    this.recordEnd(request, end, now);
    this.running -= 1;
    this.progressAt = now;
  }

  /** Polled values can only lower the limit or take the upstream out of service. */
  public polled(healthy: boolean, inFlight: number | undefined, now: number): void {
    this.health.polled(healthy, now);
    this.polledLoad.polled(inFlight, this.running, now);
  }

  /** Expected time of one request. */
  public serviceTimeMilliseconds(now: number): number {
    return Math.max(this.estimate.meanMilliseconds, this.stalledMilliseconds(now));
  }

  /** Smoothed latency as other nodes are told; 0 if nothing recent is known. */
  public reportedLatencyMilliseconds(now: number): number {
    if (this.isReportedLatencyOld(now)) return 0;
    return Math.max(this.estimate.reportedMilliseconds, this.stalledMilliseconds(now));
  }

  private isReportedLatencyOld(now: number): boolean {
    return this.running === 0 && now - this.progressAt > reportedLatencyValidMilliseconds;
  }

  /** How long all slots have been taken without any request ending: a frozen upstream gives no samples. */
  private stalledMilliseconds(now: number): number {
    return this.running >= this.limit(now) ? now - this.progressAt : 0;
  }

  private recordEnd(request: EndedRequest, end: ExecutionEnd, now: number): void {
    const elapsed = now - request.startedAt;
    switch (end) {
      case ExecutionEnd.Answered:
        this.answered(request, elapsed, now);
        return;
      case ExecutionEnd.Cancelled:
        this.estimate.cancelled(elapsed);
        this.health.unanswered(request.executionId, 'unknown', now);
        return;
      case ExecutionEnd.Failed:
        this.estimate.failed(this.worstLatency(request, elapsed));
        this.health.unanswered(request.executionId, 'reached', now);
        return;
      case ExecutionEnd.NotReached:
        this.estimate.failed(this.worstLatency(request, elapsed));
        this.health.unanswered(request.executionId, 'refused', now);
        return;
    }
  }

  /** The caller would have waited until its deadline. */
  private worstLatency(request: EndedRequest, elapsed: number): number {
    const patience = request.deadline - request.startedAt;
    return Math.max(elapsed, Math.min(patience, this.settings.failureLatencyMilliseconds));
  }

  private answered(request: EndedRequest, elapsed: number, now: number): void {
    this.estimate.answered(elapsed);
    this.ramp.answered();
    this.concurrency.answered(
      {
        inFlight: this.running,
        inFlightAtStart: request.inFlightAtStart,
        latencyMilliseconds: elapsed,
        startedAt: request.startedAt,
      },
      now,
    );
    if (this.health.answered(now)) this.ramp.start(now);
  }
}
