import { DecayingMean } from '../shared/decaying-mean.js';

const sampleWeight = 0.05;
const bytesPerKilobyte = 1_000;
/** Assumed for a route that has had no answer yet. */
const initialKilobytes = 2;

/** Mean size of a request with its answer, by route. */
export class RouteSizes {
  private readonly byRoute = new Map<string, DecayingMean>();

  public kilobytes(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? initialKilobytes;
  }

  public add(routeName: string, bytes: number): void {
    let mean = this.byRoute.get(routeName);
    if (mean === undefined) {
      mean = new DecayingMean(initialKilobytes, sampleWeight);
      this.byRoute.set(routeName, mean);
    }
    mean.add(bytes / bytesPerKilobyte);
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    for (const name of this.byRoute.keys()) {
      if (!routeNames.has(name)) this.byRoute.delete(name);
    }
  }
}
