import { DecayingMean } from '../shared/decaying-mean.js';
import { RouteMap } from '../shared/route-map.js';

const sampleWeight = 0.05;
const bytesPerKilobyte = 1_000;
/** Assumed for a route that has had no answer yet. */
const initialKilobytes = 2;

/** Mean size of a request with its answer, by route. */
export class RouteSizes {
  private readonly byRoute = new RouteMap<DecayingMean>();

  public kilobytes(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? initialKilobytes;
  }

  public add(routeName: string, bytes: number): void {
    const first = (): DecayingMean => new DecayingMean(initialKilobytes, sampleWeight);
    this.byRoute.getOrCreate(routeName, first).add(bytes / bytesPerKilobyte);
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.byRoute.retain(routeNames);
  }
}
