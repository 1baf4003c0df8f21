import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';
import { RouteMap } from '../shared/route-map.js';

/** Weight of one response: the average covers about the last twelve responses of a route. */
const sampleWeight = 0.08;
/** Service time assumed before the first response of a route whose target latency is not known. */
const defaultMilliseconds = 50;
/**
 * Service time assumed before the first response, as a share of the route's target latency. A target leaves room for a few
 * times the usual service time.
 */
const assumedTargetShare = 0.3;

/** Mean service time of requests at the server's normal speed, by route and over all routes. */
export class ServiceTimes {
  private overall = new ExponentialMovingAverage(defaultMilliseconds, sampleWeight);
  private readonly byRoute = new RouteMap<ExponentialMovingAverage>();
  private targets: ReadonlyMap<string, number> = new Map();

  public get meanMilliseconds(): number {
    return this.overall.value;
  }

  public expectedMilliseconds(routeName: string): number {
    return this.byRoute.get(routeName)?.value ?? this.assumedMilliseconds(routeName);
  }

  /** As above, but undefined before the first response of the route. */
  public measuredMilliseconds(routeName: string): number | undefined {
    return this.byRoute.get(routeName)?.value;
  }

  public add(routeName: string, milliseconds: number): void {
    this.overall.add(milliseconds);
    const createAverage = (): ExponentialMovingAverage =>
      new ExponentialMovingAverage(this.assumedMilliseconds(routeName), sampleWeight);
    this.byRoute.getOrCreate(routeName, createAverage).add(milliseconds);
  }

  /** Sets the target latencies in milliseconds of the routes to this service, and forgets all other routes. */
  public setTargets(targets: ReadonlyMap<string, number>): void {
    this.targets = targets;
    this.byRoute.retain(new Set(targets.keys()));
    if (this.overall.sampleCount > 0 || targets.size === 0) return;
    let sum = 0;
    for (const target of targets.values()) sum += target;
    const assumedMean = (sum / targets.size) * assumedTargetShare;
    this.overall = new ExponentialMovingAverage(assumedMean, sampleWeight);
  }

  private assumedMilliseconds(routeName: string): number {
    const target = this.targets.get(routeName);
    return target === undefined ? this.overall.value : target * assumedTargetShare;
  }
}
