import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';
import { RouteMap } from '../shared/route-map.js';

/** Weight of one response: the average covers about the last twelve responses of a route. */
const sampleWeight = 0.08;
/**
 * Service time assumed before the first response. It is short because wrongly admitting a request costs less
 * than wrongly declining one.
 */
const initialMilliseconds = 50;

/** Mean service time of requests at the server's normal speed, by route and over all routes. */
export class ServiceTimes {
  private readonly overall = new ExponentialMovingAverage(initialMilliseconds, sampleWeight);
  private readonly byRoute = new RouteMap<ExponentialMovingAverage>();

  public get meanMilliseconds(): number {
    return this.overall.value;
  }

  public expectedMilliseconds(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? this.overall.value;
  }

  public add(routeName: string, milliseconds: number): void {
    this.overall.add(milliseconds);
    const createAverage = (): ExponentialMovingAverage =>
      new ExponentialMovingAverage(milliseconds, sampleWeight);
    this.byRoute.getOrCreate(routeName, createAverage).add(milliseconds);
  }

  /** Removes the routes that are no longer configured. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.byRoute.retain(routeNames);
  }
}
