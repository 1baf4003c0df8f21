import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';
import { RouteMap } from '../shared/route-map.js';
import type { GateView } from './gate-table.js';

/** Weight of one reply: the average covers about the last 20 replies from all gates of a service. */
const routeSampleWeight = 0.05;
/** Weight of one reply in the factor of a gate. It is high, as each reply already averages about a dozen responses. */
const gateSampleWeight = 0.3;
/**
 * Time in which a factor loses half of its effect. A server that has recovered is tried again, as only a request can
 * show that it has.
 */
const factorHalfLifeMilliseconds = 2_000;
/**
 * A server is slow only if it takes this many times as long as its peers. An average of a dozen responses, of which a few
 * take several times as long as the others, deviates from the true mean by a fifth, and a factor counts from the third
 * deviation on. No server counts as fast: the entries would all prefer the one whose last responses were the shortest.
 */
const notableFactor = 1.6;

/** Logarithm of the time that a gate's server takes relative to its peers. */
interface GateFactor {
  logarithm: number;
  learnedAt: number;
}

/**
 * Learns how long requests of a route run at the servers of a service, and which servers take longer than their peers.
 * Gates tell the time of the request's own route with each reply. The average over all gates gives the time of the route,
 * and the ratio of a gate to that average the speed of its server, for all its routes. The averages are logarithmic, so
 * that a server that takes many times as long hardly changes the time of the route.
 */
export class RouteServiceTimes {
  private readonly logarithmsByRoute = new RouteMap<Map<string, ExponentialMovingAverage>>();
  /** Forgotten with the view, which ends with the gate's process or its connection. */
  private readonly factors = new WeakMap<GateView, GateFactor>();

  /** Records what a gate told with its latest load, which came with a reply to a request of the route. */
  public recordReply(view: GateView, routeName: string, now: number): void {
    const { routeMilliseconds } = view.load;
    const { service } = view.node;
    // Nodes of an older version do not tell it.
    if (routeMilliseconds === undefined || !(routeMilliseconds > 0)) return;
    const sample = Math.log(routeMilliseconds);
    const services = this.logarithmsByRoute.getOrCreate(routeName, () => new Map());
    let average = services.get(service);
    if (average === undefined) {
      average = new ExponentialMovingAverage(sample, routeSampleWeight);
      services.set(service, average);
    }
    const known = this.logarithmicFactor(view, now);
    const logarithm = known + gateSampleWeight * (sample - average.value - known);
    this.factors.set(view, { learnedAt: now, logarithm });
    average.add(sample);
  }

  /**
   * Expected time of a request of the route at the server of a gate; undefined before the first reply. Only notably slow
   * servers differ, so that chance differences do not make the entries prefer the same gate.
   */
  public expectedMilliseconds(view: GateView, routeName: string, now: number): number | undefined {
    const factor = Math.exp(this.logarithmicFactor(view, now));
    const usual = this.usualMilliseconds(view, routeName);
    return factor > notableFactor && usual !== undefined ? usual * factor : usual;
  }

  /** As above, but with every difference by which the server takes longer than its peers. */
  public longestMilliseconds(view: GateView, routeName: string, now: number): number | undefined {
    const factor = Math.exp(this.logarithmicFactor(view, now));
    const usual = this.usualMilliseconds(view, routeName);
    return usual === undefined ? undefined : usual * Math.max(1, factor);
  }

  /** Removes the routes that the configuration no longer declares. */
  public retainRoutes(routeNames: ReadonlySet<string>): void {
    this.logarithmsByRoute.retain(routeNames);
  }

  private usualMilliseconds(view: GateView, routeName: string): number | undefined {
    const average = this.logarithmsByRoute.get(routeName)?.get(view.node.service);
    return average === undefined ? undefined : Math.exp(average.value);
  }

  private logarithmicFactor(view: GateView, now: number): number {
    const factor = this.factors.get(view);
    if (factor === undefined) return 0;
    return factor.logarithm * 2 ** ((factor.learnedAt - now) / factorHalfLifeMilliseconds);
  }
}
