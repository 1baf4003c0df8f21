import { RouteMap } from '../shared/route-map.js';

const periodMilliseconds = 10_000;
/** Number of periods, the present one included, whose longest duration counts. */
const countingPeriods = 3;

interface Period {
  readonly startedAt: number;
  longest: number;
}

/** The longest recent duration of answered requests, by route. */
export class RouteDurations {
  private readonly periodsByRoute = new RouteMap<readonly Period[]>();

  public record(routeName: string, milliseconds: number, now: number): void {
    const periods = this.recentPeriods(routeName, now);
    const current = periods.at(-1);
    if (current !== undefined && now - current.startedAt < periodMilliseconds) {
      current.longest = Math.max(current.longest, milliseconds);
      return;
    }
    this.periodsByRoute.set(routeName, [...periods, { longest: milliseconds, startedAt: now }]);
  }

  /** Undefined if the route has had no answers recently. */
  public longestMilliseconds(routeName: string, now: number): number | undefined {
    const periods = this.recentPeriods(routeName, now);
    return periods.length === 0 ? undefined : Math.max(...periods.map(({ longest }) => longest));
  }

  /** Removes the routes that the configuration no longer declares. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.periodsByRoute.retain(routeNames);
  }

  private recentPeriods(routeName: string, now: number): readonly Period[] {
    const periods = this.periodsByRoute.get(routeName) ?? [];
    return periods.filter(
      ({ startedAt }) => now - startedAt < countingPeriods * periodMilliseconds,
    );
  }
}
