import type { ConcurrencyBound } from './concurrency-bound.js';
import type { GateCall } from './gate-calls.js';
import { ServiceTimes } from './service-times.js';
import type { SpeedWatch } from './speed-watch.js';

/** A request with less time left is declined: the way to the server and back takes about this long. */
export const shortestUsefulMilliseconds = 5;
/** Share of its usual time that a request needs at least; with less left it would only hold a slot. */
const neededShare = 0.6;

/** How long requests take at the server's present speed, learned from those that started at a known one. */
export class WorkTimes {
  private readonly times = new ServiceTimes();

  public constructor(
    private readonly speed: SpeedWatch,
    private readonly bound: ConcurrencyBound,
  ) {}

  /** Time that a request of a route takes at the present speed. */
  public expected(routeName: string): number {
    return this.times.expected(routeName) * this.speed.baseline;
  }

  /** Mean time over all routes at the present speed. */
  public get mean(): number {
    return this.times.meanMilliseconds * this.speed.baseline;
  }

  /** Time below which a request has no chance to be answered. */
  public needed(routeName: string): number {
    return Math.max(shortestUsefulMilliseconds, neededShare * this.expected(routeName));
  }

  /** Time that a call of a server needs, which holds a slot elsewhere meanwhile. */
  public neededNested(routeName: string): number {
    return neededShare * this.expected(routeName);
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.times.retain(routeNames);
  }

  /** Learns from an answer, unless its request started in a moment of unknown speed. */
  public answered(call: GateCall, slots: number, now: number): void {
    if (!this.isKnownSpeed(call)) return;
    const { routeName } = call.frame;
    const usual = usualMilliseconds(call, now);
    const relativeTime = usual / this.times.expected(routeName);
    this.bound.answered(slots, call.runningAtStart, relativeTime);
    this.times.add(routeName, usual);
  }

  /** A request that was aborted would have taken longer still. */
  public aborted(call: GateCall, now: number): void {
    if (!this.isKnownSpeed(call)) return;
    const { routeName } = call.frame;
    const usual = usualMilliseconds(call, now);
    if (usual > this.times.expected(routeName)) this.times.add(routeName, usual);
  }

  /** A request that started in a slow moment says little about the next one. */
  private isKnownSpeed({ startedFast }: GateCall): boolean {
    return !this.speed.isReported || startedFast;
  }
}

/** Time that a request would have taken at the usual speed. */
function usualMilliseconds({ slowdownAtStart, startedAt }: GateCall, now: number): number {
  return (now - startedAt) / slowdownAtStart;
}
