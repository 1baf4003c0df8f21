import type { RandomSource } from '@peridotspring/core';

import type { GateView } from './target-book.js';

/** The way to a gate in another zone and back. */
const otherZoneMilliseconds = 4;
/** The way to a gate in another region and back. */
const otherRegionMilliseconds = 80;
/** Traffic between zones is billed: a kilobyte is worth waiting this long at a nearer gate. */
const millisecondsPerKilobyte = 10;
/** Time that a request is worth; a server that fails a share of requests is charged that share of it. */
const failureMilliseconds = 1_500;
/** Charge of a gate whose slots are all in use, so that load spreads before queues form. */
const crowdingMilliseconds = 30;
/** Gates whose expected times differ by less than this are equal; one of them is drawn at random. */
const tieMilliseconds = 2;
/** Length of the spans for which neighbours slow a server down; a report says nothing after it. */
const slowSpanMilliseconds = 150;

export interface PlacementOptions {
  readonly availabilityZone: string;
  readonly region: string;
  readonly random: RandomSource;
}

/** What the choice depends on besides the gates. */
export interface Placement {
  readonly now: number;
  readonly excluded: ReadonlySet<string>;
  /** Bytes of a request and its answer in thousands, as far as known. */
  readonly kilobytes: number;
}

/** A gate with the time that an answer is expected to take there. */
export interface PlacedGate {
  readonly view: GateView;
  readonly expectedMilliseconds: number;
}

/** Chooses the gate where a request is expected to be complete first, with charges for its costs. */
export class CompletionPolicy {
  public constructor(private readonly options: PlacementOptions) {}

  public choose(candidates: Iterable<GateView>, placement: Placement): PlacedGate | undefined {
    let best: PlacedGate | undefined;
    let ties = 0;
    for (const view of candidates) {
      if (placement.excluded.has(view.node.name)) continue;
      const expectedMilliseconds = this.expectedMilliseconds(view, placement);
      const difference = expectedMilliseconds - (best?.expectedMilliseconds ?? Infinity);
      if (difference < -tieMilliseconds) {
        best = { expectedMilliseconds, view };
        ties = 1;
      } else if (difference < tieMilliseconds) {
        ties += 1;
        if (this.options.random.next() * ties < 1) best = { expectedMilliseconds, view };
      }
    }
    return best;
  }

  private expectedMilliseconds(view: GateView, { kilobytes, now }: Placement): number {
    const { load, unreported } = view;
    const limit = Math.max(1, load.limit);
    const inProgress = load.running + load.waiting + unreported;
    const service = load.serviceMilliseconds;
    const wait = (Math.max(0, inProgress + 1 - limit) * service) / limit;
    const crowding = crowdingMilliseconds * Math.min(1, inProgress / limit) ** 2;
    return (
      service +
      wait +
      crowding +
      slowSpanDelay(view, now) +
      failureMilliseconds * load.failureShare +
      this.distance(view, kilobytes)
    );
  }

  private distance({ node }: GateView, kilobytes: number): number {
    const { availabilityZone, region } = this.options;
    if (node.availabilityZone === availabilityZone && node.region === region) return 0;
    const way = node.region === region ? otherZoneMilliseconds : otherRegionMilliseconds;
    return way + kilobytes * millisecondsPerKilobyte;
  }
}

/** Time that a request loses in the rest of a slow span that was reported a while ago. */
function slowSpanDelay({ load, loadAt }: GateView, now: number): number {
  const age = now - loadAt;
  if (load.slowdown <= 1 || age >= slowSpanMilliseconds) return 0;
  const rest = (slowSpanMilliseconds - age) / 2;
  return rest * (1 - 1 / load.slowdown) * (1 - age / slowSpanMilliseconds);
}
