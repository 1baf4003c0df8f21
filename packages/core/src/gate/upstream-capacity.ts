import type { UpstreamAnnouncement } from '../messages/member.js';
import { serviceDefaults } from '../messages/service-configuration.js';
import { SlowStartRamp } from './slow-start-ramp.js';
import type { ConcurrencyLimit } from './concurrency-limit.js';
import { ExecutionEnd } from './gate-contract.js';
import type { GateSettings } from './gate-settings.js';
import { PolledLoad } from './polled-load.js';
import { ServiceTimeEstimate } from './service-time-estimate.js';
import { UpstreamHealth } from './upstream-health.js';

/**
 * An upstream that was idle for this long may have recovered since its last results. If its gate
 * kept reporting their latency, entries would keep avoiding it and never learn that it has recovered.
 * Ejected servers get a trial at
 * the same interval.
 */
const reportedLatencyValidMilliseconds = 10_000;

/** A request that is running at the upstream. */
export interface StartedRequest {
  readonly startedAt: number;
  readonly deadline: number;
  /** Number of running requests when this one started, itself included. */
  readonly inFlightAtStart: number;
}

/** A request that has ended at the upstream. */
export interface EndedRequest extends StartedRequest {
  readonly executionId: number;
}

/** State of the upstream: announcement, health, service time, slow start and concurrency limit. */
export class UpstreamCapacity {
  public readonly serviceTimeEstimate: ServiceTimeEstimate;
  public readonly health: UpstreamHealth;
  private readonly polledLoad: PolledLoad;
  private readonly slowStart: SlowStartRamp;
  private announcement: UpstreamAnnouncement | undefined;
  private runningCount = 0;
  /** Monotonic time at which a request last started or ended. */
  private lastProgressAt = 0;

  public constructor(
    private readonly settings: GateSettings,
    private readonly concurrencyLimit: ConcurrencyLimit,
  ) {
    this.serviceTimeEstimate = new ServiceTimeEstimate(
      settings.latencySmoothing,
      settings.shortestServiceTimeSamples,
    );
    this.health = new UpstreamHealth(settings);
    this.polledLoad = new PolledLoad(
      settings.polledLoadValidMilliseconds,
      settings.polledLoadMaximumShare,
    );
    this.slowStart = new SlowStartRamp(
      settings.rampStartShare,
      settings.rampAnswersPerSlot,
      serviceDefaults.rampMilliseconds,
    );
  }

  /** Service of the announced upstream, undefined if there is none. */
  public get service(): string | undefined {
    return this.announcement?.service;
  }

  /** Announced slots, 1 while no upstream is announced. */
  public get slots(): number {
    return this.announcement?.slots ?? 1;
  }

  /** Number of requests of this gate that are running at the upstream. */
  public get inFlight(): number {
    return this.runningCount;
  }

  public configureSlowStart(rampMilliseconds: number): void {
    this.slowStart.configure(rampMilliseconds);
  }

  /** Whether the announcement is of a different upstream than the last one. */
  public isNew(announcement: UpstreamAnnouncement): boolean {
    const last = this.announcement;
    return last?.service !== announcement.service || last.address !== announcement.address;
  }

  /** Applies an announcement. A known upstream that is up can repeat it without another slow start. */
  public announce(announcement: UpstreamAnnouncement, now: number): void {
    const isNew = this.isNew(announcement);
    if (isNew) this.serviceTimeEstimate.reset();
    if (isNew || this.health.isDown) this.slowStart.start(now);
    this.concurrencyLimit.setSlots(announcement.slots, isNew);
    this.health.markUp();
    this.announcement = announcement;
  }

  public onUpstreamLeft(): void {
    this.announcement = undefined;
  }

  /**
   * Maximum number of concurrent requests now: the lowest of the slow-start limit, the learned limit and
   * the slots not taken by requests that bypass the gate; at least 1.
   */
  public limit(now: number): number {
    const slots = this.slots;
    const free = slots - this.polledLoad.slotsTakenByOthers(slots, now);
    return Math.max(
      1,
      Math.min(this.slowStart.limit(slots, now), this.concurrencyLimit.limit, free),
    );
  }

  /** Whether slow start currently withholds slots. */
  public isInSlowStart(now: number): boolean {
    return this.slowStart.limit(this.slots, now) < this.slots;
  }

  public onStarted(deadline: number, now: number): StartedRequest {
    if (this.isReportedLatencyExpired(now)) this.serviceTimeEstimate.resetReported();
    this.runningCount += 1;
    this.lastProgressAt = now;
    this.polledLoad.onRunningChanged(this.runningCount);
    return { deadline, inFlightAtStart: this.runningCount, startedAt: now };
  }

  public onEnded(request: EndedRequest, end: ExecutionEnd, now: number): void {
    this.recordEnd(request, end, now);
    this.runningCount -= 1;
    this.lastProgressAt = now;
  }

  /** Applies a poll, which can only lower the limit or take the upstream out of service. */
  public onPolled(isHealthy: boolean, inFlight: number | undefined, now: number): void {
    this.health.onPolled(isHealthy, now);
    this.polledLoad.onPolled(inFlight, this.runningCount, now);
  }

  /** Expected service time of a request. */
  public serviceTimeMilliseconds(now: number): number {
    return Math.max(this.serviceTimeEstimate.meanMilliseconds, this.stalledMilliseconds(now));
  }

  /** Smoothed latency for load reports; 0 if there is no recent one. */
  public reportedLatencyMilliseconds(now: number): number {
    if (this.isReportedLatencyExpired(now)) return 0;
    return Math.max(this.serviceTimeEstimate.reportedMilliseconds, this.stalledMilliseconds(now));
  }

  private isReportedLatencyExpired(now: number): boolean {
    return this.runningCount === 0 && now - this.lastProgressAt > reportedLatencyValidMilliseconds;
  }

  /**
   * Time since the last start or end of a request if all slots are taken, else 0. A frozen upstream
   * yields no latency samples, so this time is used as its latency.
   */
  private stalledMilliseconds(now: number): number {
    return this.runningCount >= this.limit(now) ? now - this.lastProgressAt : 0;
  }

  private recordEnd(request: EndedRequest, end: ExecutionEnd, now: number): void {
    const elapsed = now - request.startedAt;
    switch (end) {
      case ExecutionEnd.Answered:
        this.recordAnswer(request, elapsed, now);
        return;
      case ExecutionEnd.Cancelled:
        this.serviceTimeEstimate.onCancelled(elapsed);
        this.health.onUnanswered(request.executionId, 'unknown', now);
        return;
      case ExecutionEnd.Failed:
        this.serviceTimeEstimate.onFailed(this.worstLatency(request, elapsed));
        this.health.onUnanswered(request.executionId, 'reached', now);
        return;
      case ExecutionEnd.NotReached:
        this.serviceTimeEstimate.onFailed(this.worstLatency(request, elapsed));
        this.health.onUnanswered(request.executionId, 'refused', now);
        return;
    }
  }

  /**
   * Latency recorded for a failure: the time from the start to the deadline, but at most
   * `failureLatencyMilliseconds`; the elapsed time if that is longer.
   */
  private worstLatency(request: EndedRequest, elapsed: number): number {
    const timeAllowed = request.deadline - request.startedAt;
    return Math.max(elapsed, Math.min(timeAllowed, this.settings.failureLatencyMilliseconds));
  }

  private recordAnswer(request: EndedRequest, elapsed: number, now: number): void {
    this.serviceTimeEstimate.onAnswered(elapsed);
    this.slowStart.onAnswered();
    this.concurrencyLimit.onAnswered(
      {
        inFlight: this.runningCount,
        inFlightAtStart: request.inFlightAtStart,
        latencyMilliseconds: elapsed,
        startedAt: request.startedAt,
      },
      now,
    );
    if (this.health.onAnswered(now)) this.slowStart.start(now);
  }
}
