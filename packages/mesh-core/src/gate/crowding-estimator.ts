import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';
import { RouteMap } from '../shared/route-map.js';

/** Number of the latest responses that each average covers. */
const averagedSamples = 50;

/** How a request ran: with nearly all slots of the server in use, with fewer, or partly. */
export const Crowding = { Crowded: 'crowded', Mixed: 'mixed', Uncrowded: 'uncrowded' } as const;
export type Crowding = (typeof Crowding)[keyof typeof Crowding];

/**
 * Estimates how many times as long requests take when nearly all slots of their server are in use. Service times of the
 * same route are compared by their logarithms, since single responses may take several times the usual time.
 */
export class CrowdingEstimator {
  private readonly crowded = new LogarithmicTimes();
  private readonly uncrowded = new LogarithmicTimes();

  public get crowdedSamples(): number {
    return this.crowded.sampleCount;
  }

  public get uncrowdedSamples(): number {
    return this.uncrowded.sampleCount;
  }

  /** Whether crowded requests take at least the given multiple of the time of uncrowded ones, as far as is known. */
  public isSlowerThan(factor: number): boolean {
    return this.logarithmicFactor > Math.log(factor) + this.standardError;
  }

  public record(routeName: string, crowding: Crowding, milliseconds: number): void {
    if (crowding === Crowding.Crowded) this.crowded.add(routeName, milliseconds);
    else if (crowding === Crowding.Uncrowded) this.uncrowded.add(routeName, milliseconds);
  }

  /** Forgets the routes that are no longer configured. */
  public retainRoutes(routeNames: ReadonlySet<string>): void {
    this.crowded.byRoute.retain(routeNames);
    this.uncrowded.byRoute.retain(routeNames);
  }

  /** Logarithm of the multiple by which crowded requests take longer; 0 if no route has had both. */
  private get logarithmicFactor(): number {
    let weightedSum = 0;
    let weights = 0;
    for (const [routeName, crowded] of this.crowded.byRoute) {
      const uncrowded = this.uncrowded.byRoute.get(routeName);
      if (uncrowded === undefined) continue;
      const weight = Math.min(crowded.sampleCount, uncrowded.sampleCount);
      weightedSum += weight * (crowded.value - uncrowded.value);
      weights += weight;
    }
    return weights === 0 ? 0 : weightedSum / weights;
  }

  /** Standard error of the logarithmic factor. */
  private get standardError(): number {
    const { crowded, uncrowded } = this;
    return Math.sqrt(
      crowded.variance / Math.min(crowded.sampleCount, averagedSamples) +
        uncrowded.variance / Math.min(uncrowded.sampleCount, averagedSamples),
    );
  }
}

/** Averages of the logarithms of service times, by route. */
class LogarithmicTimes {
  public readonly byRoute = new RouteMap<ExponentialMovingAverage>();
  private readonly squaredDeviation = new ExponentialMovingAverage(0, 1 / averagedSamples);

  public get sampleCount(): number {
    return this.squaredDeviation.sampleCount;
  }

  /** Mean squared deviation of a response from the average of its route. */
  public get variance(): number {
    return this.squaredDeviation.value;
  }

  public add(routeName: string, milliseconds: number): void {
    const logarithm = Math.log(Math.max(1, milliseconds));
    const createAverage = (): ExponentialMovingAverage =>
      new ExponentialMovingAverage(logarithm, 1 / averagedSamples);
    const average = this.byRoute.getOrCreate(routeName, createAverage);
    this.squaredDeviation.add((logarithm - average.value) ** 2);
    average.add(logarithm);
  }
}
