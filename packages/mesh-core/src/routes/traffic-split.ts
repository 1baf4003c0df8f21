import type { RandomSource } from '@peridotspring/core';

import { RouteMap } from '../shared/route-map.js';
import type { Route, WeightedService } from './route-configuration.js';

interface SplitState {
  readonly key: string;
  readonly credits: number[];
}

/**
 * Distributes the requests of each route over its services in proportion to their weights. Smooth
 * weighted round robin keeps the shares exact over short spans; a random start keeps the nodes of a
 * fleet from choosing the same service at the same time.
 */
export class TrafficSplit {
  private readonly states = new RouteMap<SplitState>();

  public constructor(private readonly random: RandomSource) {}

  public choose(route: Route): string {
    const [only] = route.split;
    if (route.split.length === 1 && only !== undefined) return only.service;
    const { credits } = this.stateOf(route);
    let chosen = 0;
    let total = 0;
    for (const [index, { weight }] of route.split.entries()) {
      total += weight;
      credits[index] = (credits[index] ?? 0) + weight;
      if ((credits[index] ?? 0) > (credits[chosen] ?? 0)) chosen = index;
    }
    credits[chosen] = (credits[chosen] ?? 0) - total;
    return route.split[chosen]?.service ?? '';
  }

  /** Forgets routes that are no longer declared. */
  public retain(routeNames: ReadonlySet<string>): void {
    this.states.retain(routeNames);
  }

  private stateOf(route: Route): SplitState {
    const key = route.split.map(describe).join();
    const known = this.states.get(route.name);
    if (known?.key === key) return known;
    const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
    const credits = route.split.map(({ weight }) => weight * this.random.next());
    const excess = credits.reduce((sum, credit) => sum + credit, 0) / Math.max(1, credits.length);
    const state = { credits: credits.map((credit) => Math.min(total, credit - excess)), key };
    this.states.set(route.name, state);
    return state;
  }
}

function describe({ service, weight }: WeightedService): string {
  return `${service}=${weight}`;
}
