import type { RandomSource } from '@peridotspring/core';

import { RouteMap } from '../shared/route-map.js';
import type { Route, WeightedService } from './route-configuration.js';

interface SplitState {
  /** The services and weights that the credits were computed for. */
  readonly weightsKey: string;
  /** Current weight of each service in the smooth weighted round robin. */
  readonly credits: number[];
}

/**
 * Distributes the requests of each route over its services in proportion to their weights. Smooth
 * weighted round robin keeps the shares accurate over short spans. Random initial credits keep the nodes
 * from all choosing the same service at the same time.
 */
export class TrafficSplit {
  private readonly statesByRoute = new RouteMap<SplitState>();

  public constructor(private readonly random: RandomSource) {}

  public chooseService(route: Route): string {
    const [firstService] = route.split;
    if (route.split.length === 1 && firstService !== undefined) return firstService.service;
    const { credits } = this.stateForRoute(route);
    let chosenIndex = 0;
    let totalWeight = 0;
    for (const [index, { weight }] of route.split.entries()) {
      totalWeight += weight;
      credits[index] = (credits[index] ?? 0) + weight;
      if ((credits[index] ?? 0) > (credits[chosenIndex] ?? 0)) chosenIndex = index;
    }
    credits[chosenIndex] = (credits[chosenIndex] ?? 0) - totalWeight;
    return route.split[chosenIndex]?.service ?? '';
  }

  /** Removes the routes that the configuration no longer declares. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.statesByRoute.retain(routeNames);
  }

  private stateForRoute(route: Route): SplitState {
    const weightsKey = route.split.map(formatWeight).join();
    const existing = this.statesByRoute.get(route.name);
    if (existing?.weightsKey === weightsKey) return existing;
    const totalWeight = route.split.reduce((sum, { weight }) => sum + weight, 0);
    const credits = route.split.map(({ weight }) => weight * this.random.next());
    const meanCredit =
      credits.reduce((sum, credit) => sum + credit, 0) / Math.max(1, credits.length);
    const state = {
      credits: credits.map((credit) => Math.min(totalWeight, credit - meanCredit)),
      weightsKey,
    };
    this.statesByRoute.set(route.name, state);
    return state;
  }
}

function formatWeight({ service, weight }: WeightedService): string {
  return `${service}=${weight}`;
}
