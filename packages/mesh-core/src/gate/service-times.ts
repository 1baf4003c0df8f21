import { DecayingMean } from '../shared/decaying-mean.js';

/** Weight of one answer: the mean covers about the last twelve answers of a route. */
const sampleWeight = 0.08;
/** Assumed before the first answer; a request that is admitted in error costs less than one refused. */
const initialMilliseconds = 50;

/** Mean time that the server takes for a request at its usual speed, by route and over all. */
export class ServiceTimes {
  private readonly overall = new DecayingMean(initialMilliseconds, sampleWeight);
  private readonly byRoute = new Map<string, DecayingMean>();

  public get meanMilliseconds(): number {
    return this.overall.value;
  }

  public expected(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? this.overall.value;
  }

  public add(routeName: string, milliseconds: number): void {
    this.overall.add(milliseconds);
    let route = this.byRoute.get(routeName);
    if (route === undefined) {
      route = new DecayingMean(milliseconds, sampleWeight);
      this.byRoute.set(routeName, route);
    }
    route.add(milliseconds);
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    for (const name of this.byRoute.keys()) {
      if (!routeNames.has(name)) this.byRoute.delete(name);
    }
  }
}
