import type { ConcurrencyLimit } from './concurrency-limit.js';
import type { GateCall } from './gate-call-registry.js';
import { ServiceTimes } from './service-times.js';
import type { ServerSpeedTracker } from './server-speed-tracker.js';

/** A request with less time left is declined: the round trip to the server takes about this long. */
export const shortestUsefulMilliseconds = 5;
/**
 * Minimum remaining time of a request, as a share of its expected service time. With less time left it would
 * occupy a slot in vain.
 */
const minimumTimeShare = 0.6;

/**
 * Estimates service times at the server's current speed, from requests that started when its speed was known.
 */
export class ServiceTimeEstimator {
  private readonly times = new ServiceTimes();

  public constructor(
    private readonly speed: ServerSpeedTracker,
    private readonly concurrencyLimit: ConcurrencyLimit,
  ) {}

  /** Expected service time of a request of the route at the current speed. */
  public expectedServiceMilliseconds(routeName: string): number {
    return this.times.expectedMilliseconds(routeName) * this.speed.baselineSlowdown;
  }

  /** As above, rounded to whole milliseconds for reports; undefined before the first response of the route. */
  public reportedServiceMilliseconds(routeName = ''): number | undefined {
    const measured = this.times.measuredMilliseconds(routeName);
    return measured === undefined ? undefined : Math.ceil(measured * this.speed.baselineSlowdown);
  }

  /** Mean service time over all routes at the current speed. */
  public get meanServiceMilliseconds(): number {
    return this.times.meanMilliseconds * this.speed.baselineSlowdown;
  }

  /** Remaining time below which a request has no chance of a response. */
  public minimumMilliseconds(routeName: string): number {
    return Math.max(
      shortestUsefulMilliseconds,
      minimumTimeShare * this.expectedServiceMilliseconds(routeName),
    );
  }

  /** As above for a nested call, whose parent holds a slot of another server. */
  public minimumNestedMilliseconds(routeName: string): number {
    return minimumTimeShare * this.expectedServiceMilliseconds(routeName);
  }

  /** Sets the target latencies in milliseconds of the routes to this service, and forgets all other routes. */
  public setTargets(targets: ReadonlyMap<string, number>): void {
    this.times.setTargets(targets);
  }

  /** Records the service time of a response, unless the request started when the speed was unknown. */
  public recordResponse(call: GateCall, now: number): void {
    if (!this.isSpeedAtStartKnown(call)) return;
    const { routeName } = call.frame;
    const normalized = normalizedMilliseconds(call, now);
    const crowded =
      this.concurrencyLimit.crowdedMilliseconds(now) - call.crowdedMillisecondsAtStart;
    this.concurrencyLimit.recordResponse({
      crowdedShare: crowded / Math.max(1, now - call.startedAt),
      isCrowdedAtStart: call.isCrowdedAtStart,
      milliseconds: normalized,
      routeName,
    });
    this.times.add(routeName, normalized);
  }

  /**
   * Records an aborted request if it has already taken longer than expected: without the abort it would have
   * taken longer still.
   */
  public recordAbort(call: GateCall, now: number): void {
    if (!this.isSpeedAtStartKnown(call)) return;
    const { routeName } = call.frame;
    const normalized = normalizedMilliseconds(call, now);
    if (normalized > this.times.expectedMilliseconds(routeName))
      this.times.add(routeName, normalized);
  }

  /**
   * Whether the request started at normal speed, or the server reports no speed. A request that started during a
   * slowdown does not predict later ones.
   */
  private isSpeedAtStartKnown({ isFastAtStart }: GateCall): boolean {
    return !this.speed.hasReports || isFastAtStart;
  }
}

/** Time since the start of a request, converted to the server's normal speed. */
function normalizedMilliseconds({ slowdownAtStart, startedAt }: GateCall, now: number): number {
  return (now - startedAt) / slowdownAtStart;
}
