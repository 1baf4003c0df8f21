import { RouteMap } from '../shared/route-map.js';

/** Number of recent requests kept for each route: ten seconds of a route with six requests per second at this node. */
const keptSamples = 64;
/** With fewer requests, no common limits are derived. */
const minimumSamples = 8;
/** The common limits are recomputed only after this many requests, because that sorts all kept samples. */
const refreshIntervalSamples = 8;
/**
 * A limit is common if at least this share of the requests has it. Under overload, 60 in 100 requests were first
 * attempts, which have the caller's full limit. The remaining time of the others varied so widely that only 3 in 100
 * were within 20 ms of each other.
 */
const minimumCommonShare = 0.15;
/** Fewer requests with a similar limit are taken for a coincidence. */
const minimumCommonSamples = 3;
/** Limits that differ by at most this much count as equal, since some time passes before a request is sent. */
const toleranceMilliseconds = 10;

interface RouteLimits {
  /** Time limits of recent requests in milliseconds, the newest last. */
  readonly samples: number[];
  /** In milliseconds, ascending. */
  commonLimits: readonly number[];
  samplesSinceRefresh: number;
}

/**
 * Estimates the time limits that callers of a route set on their first attempt. A caller that was refused
 * tries again with the remainder of its limit, while the target latency of the route counts from its first
 * attempt. The difference to the full limit shows how long ago that was.
 */
export class CallerTimeLimits {
  private readonly byRoute = new RouteMap<RouteLimits>();

  /** Records the time limit of a request, and estimates how long its caller has already spent on earlier attempts. */
  public estimateMillisecondsSpentBefore(routeName: string, givenMilliseconds: number): number {
    const limits = this.byRoute.getOrCreate(routeName, createRouteLimits);
    limits.samples.push(givenMilliseconds);
    if (limits.samples.length > keptSamples) limits.samples.shift();
    limits.samplesSinceRefresh += 1;
    if (
      limits.samplesSinceRefresh >= refreshIntervalSamples &&
      limits.samples.length >= minimumSamples
    ) {
      limits.commonLimits = findCommonLimits(limits.samples);
      limits.samplesSinceRefresh = 0;
    }
    const initialMilliseconds = limits.commonLimits.find((limit) => limit >= givenMilliseconds);
    const spentMilliseconds = (initialMilliseconds ?? givenMilliseconds) - givenMilliseconds;
    return spentMilliseconds > toleranceMilliseconds ? spentMilliseconds : 0;
  }

  /** Removes the routes that the configuration no longer declares. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.byRoute.retain(routeNames);
  }
}

function createRouteLimits(): RouteLimits {
  return { commonLimits: [], samples: [], samplesSinceRefresh: 0 };
}

/** Returns the highest limit of each group of similar limits that is too large to be a coincidence. */
function findCommonLimits(samples: readonly number[]): readonly number[] {
  const neededSamples = Math.max(minimumCommonSamples, samples.length * minimumCommonShare);
  const sorted = [...samples].sort((a, b) => a - b);
  const commonLimits: number[] = [];
  let end = sorted.length - 1;
  while (end >= 0) {
    const highest = sorted[end] ?? 0;
    let start = end;
    while (start > 0 && highest - (sorted[start - 1] ?? 0) <= toleranceMilliseconds) start -= 1;
    if (end - start + 1 >= neededSamples) commonLimits.unshift(highest);
    end = start - 1;
  }
  return commonLimits;
}
