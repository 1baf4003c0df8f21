import type { RandomSource } from '@peridotspring/core';

import type { GateView } from './target-book.js';

/** Time by which a gate in another zone must be sooner: the way there and back, and the price of bytes. */
const otherZoneMilliseconds = 12;
/** As above for another region. */
const otherRegionMilliseconds = 80;
/** Time that a request is worth; a server that fails a share of requests is charged that share of it. */
const failureMilliseconds = 1_500;
/** Share of the service time that a fully used server is charged, so that load spreads before queues form. */
const crowdingShare = 0.5;
/** Gates whose expected times differ by less than this are equal; one of them is drawn at random. */
const tieMilliseconds = 3;
/** Age at which a report of a slow moment says nothing more. */
const slowdownLifeMilliseconds = 120;

export interface PlacementOptions {
  readonly availabilityZone: string;
  readonly region: string;
  readonly random: RandomSource;
}

/** Chooses the gate where a request is expected to be complete first. */
export class CompletionPolicy {
  public constructor(private readonly options: PlacementOptions) {}

  public choose(
    candidates: Iterable<GateView>,
    excluded: ReadonlySet<string>,
    now: number,
  ): GateView | undefined {
    let best: GateView | undefined;
    let bestTime = Infinity;
    let ties = 0;
    for (const view of candidates) {
      if (excluded.has(view.node.name)) continue;
      const time = this.expectedMilliseconds(view, now);
      if (time < bestTime - tieMilliseconds) {
        best = view;
        bestTime = time;
        ties = 1;
      } else if (time < bestTime + tieMilliseconds) {
        ties += 1;
        if (this.options.random.next() * ties < 1) best = view;
        bestTime = Math.min(bestTime, time);
      }
    }
    return best;
  }

  /** Expected time until an answer, with charges for what makes a gate the worse choice. */
  public expectedMilliseconds({ load, loadAt, node, unreported }: GateView, now: number): number {
    const limit = Math.max(1, load.limit);
    const inProgress = load.running + load.waiting + unreported;
    const service = load.serviceMilliseconds;
    const wait = (Math.max(0, inProgress + 1 - limit) * service) / limit;
    const crowding = crowdingShare * service * Math.min(1, inProgress / limit);
    const age = now - loadAt;
    const slow = Math.max(0, 1 - age / slowdownLifeMilliseconds) * (load.slowdown - 1);
    return (
      service +
      wait +
      crowding +
      slow * (slowdownLifeMilliseconds / 8) +
      failureMilliseconds * load.failureShare +
      this.distance(node.availabilityZone, node.region)
    );
  }

  private distance(availabilityZone: string, region: string): number {
    if (region !== this.options.region) return otherRegionMilliseconds;
    return availabilityZone === this.options.availabilityZone ? 0 : otherZoneMilliseconds;
  }
}
