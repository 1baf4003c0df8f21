import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';
import { RouteMap } from '../shared/route-map.js';

const sampleWeight = 0.05;
const bytesPerKilobyte = 1_000;
/** Assumed until a request of the route has been answered. */
const initialKilobytes = 2;

/** Mean size of a request body plus its response body, by route. */
export class RouteSizes {
  private readonly meanKilobytesByRoute = new RouteMap<ExponentialMovingAverage>();

  public meanKilobytes(routeName: string): number {
    return this.meanKilobytesByRoute.get(routeName)?.value ?? initialKilobytes;
  }

  public addSample(routeName: string, bytes: number): void {
    const createMean = (): ExponentialMovingAverage =>
      new ExponentialMovingAverage(initialKilobytes, sampleWeight);
    this.meanKilobytesByRoute.getOrCreate(routeName, createMean).add(bytes / bytesPerKilobyte);
  }

  /** Removes the routes that the configuration no longer declares. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.meanKilobytesByRoute.retain(routeNames);
  }
}
