import { DecayingMean } from '../shared/decaying-mean.js';
import { RouteMap } from '../shared/route-map.js';

/** Weight of one answer: the mean covers about the last twelve answers of a route. */
const sampleWeight = 0.08;
/** Assumed before the first answer; a request that is admitted in error costs less than one refused. */
const initialMilliseconds = 50;

/** Mean time that the server takes for a request at its usual speed, by route and over all. */
export class ServiceTimes {
  private readonly overall = new DecayingMean(initialMilliseconds, sampleWeight);
  private readonly byRoute = new RouteMap<DecayingMean>();

  public get meanMilliseconds(): number {
    return this.overall.value;
  }

  public expected(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? this.overall.value;
  }

  public add(routeName: string, milliseconds: number): void {
    this.overall.add(milliseconds);
    const first = (): DecayingMean => new DecayingMean(milliseconds, sampleWeight);
    this.byRoute.getOrCreate(routeName, first).add(milliseconds);
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.byRoute.retain(routeNames);
  }
}
