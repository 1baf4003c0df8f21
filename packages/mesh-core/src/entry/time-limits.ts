import { RouteMap } from '../shared/route-map.js';

/** Requests of a route that are looked at: ten seconds of a route with six requests a second at a node. */
const keptRequests = 64;
/** Fewer requests than this say nothing about the route. */
const neededRequests = 8;
/** The common limits are looked for again after this many requests, because that sorts all that are kept. */
const refreshRequests = 8;
/**
 * Share of the requests that come with a common limit. Under overload 60 in 100 were first ones; the others were
 * spread so widely that 3 in 100 came within 20 ms of each other.
 */
const commonShare = 0.15;
/** Fewer requests than this with a similar limit are chance. */
const fewestCommon = 3;
/** Limits that differ by less are the same: some time passes until a request is sent. */
const toleranceMilliseconds = 10;

interface RouteLimits {
  /** Newest last. */
  readonly given: number[];
  /** Ascending. */
  common: readonly number[];
  sinceRefresh: number;
}

/**
 * The time limits with which callers of a route begin. A caller that was refused returns with what is
 * left of its limit, and the target of the route counts from its first request.
 */
export class TimeLimits {
  private readonly byRoute = new RouteMap<RouteLimits>();

  /** Time that the caller of a request has waited before; learns from the request. */
  public spentBefore(routeName: string, givenMilliseconds: number): number {
    const limits = this.byRoute.getOrCreate(routeName, noLimits);
    limits.given.push(givenMilliseconds);
    if (limits.given.length > keptRequests) limits.given.shift();
    limits.sinceRefresh += 1;
    if (limits.sinceRefresh >= refreshRequests && limits.given.length >= neededRequests) {
      limits.common = commonLimits(limits.given);
      limits.sinceRefresh = 0;
    }
    const limit = limits.common.find((common) => common >= givenMilliseconds);
    const spent = (limit ?? givenMilliseconds) - givenMilliseconds;
    return spent > toleranceMilliseconds ? spent : 0;
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.byRoute.retain(routeNames);
  }
}

function noLimits(): RouteLimits {
  return { common: [], given: [], sinceRefresh: 0 };
}

/** The highest of each group of similar limits that is large enough to be no chance. */
function commonLimits(given: readonly number[]): readonly number[] {
  const needed = Math.max(fewestCommon, given.length * commonShare);
  const sorted = [...given].sort((a, b) => a - b);
  const common: number[] = [];
  let end = sorted.length - 1;
  while (end >= 0) {
    const highest = sorted[end] ?? 0;
    let start = end;
    while (start > 0 && highest - (sorted[start - 1] ?? 0) <= toleranceMilliseconds) start -= 1;
    if (end - start + 1 >= needed) common.unshift(highest);
    end = start - 1;
  }
  return common;
}
