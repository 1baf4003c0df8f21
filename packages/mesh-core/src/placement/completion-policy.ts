import type { RandomSource } from '@peridotspring/core';

import { isSameZone } from '../shared/same-zone.js';
import type { GateView } from './target-book.js';

/** The way to a gate in another zone and back. */
const otherZoneMilliseconds = 4;
/** The way to a gate in another region and back. */
const otherRegionMilliseconds = 80;
/**
 * Traffic between zones is billed. The cost of a kilobyte as a share of what an answer in time is
 * worth more than a late one: 0.027 of 0.9, from the prices and worths of the registries.
 */
const costPerKilobyte = 0.03;
/** Share of the target that an answer may take without a risk of being late. */
const safeShare = 0.45;
/** Share of the target at which an answer is late for certain; expected times are uncertain. */
const lateShare = 1.2;
/** Cost of a second of waiting for a request that is late in any case. */
const costPerSecond = 0.2;
/** Cost of a gate whose slots are all in use, so that load spreads before queues form. */
const crowdingCost = 0.02;
/** Gates whose costs differ by less than this are equal; one of them is drawn at random. */
const tieCost = 0.003;
/** Chance that a wait for a busy or slow server lasts another span. */
const longerWaitShare = 0.25;
/** Length of the spans for which neighbours slow a server down; a report says nothing after it. */
const slowSpanMilliseconds = 150;
/** An expected time above this many times the usual one includes a wait. */
const waitingFactor = 1.25;
/** A server that takes this many times as long as its peers is slow; less comes from other requests. */
const slowServerFactor = 1.6;

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
  /** Time until the route's target latency has passed. */
  readonly targetMilliseconds: number;
}

/** A gate with what choosing it is expected to cost, as a share of the worth of an answer in time. */
export interface PlacedGate {
  readonly view: GateView;
  readonly cost: number;
  /** The cost of the best other gate; infinite if there is none. */
  readonly nextCost: number;
}

/**
 * Chooses the gate that costs least: by the risk that the answer comes after its target, by the share
 * of requests that fail there, and by the bytes that cross a zone. A short wait nearby that leaves
 * time enough is better than the way to another zone.
 */
export class CompletionPolicy {
  public constructor(private readonly options: PlacementOptions) {}

  public choose(candidates: Iterable<GateView>, placement: Placement): PlacedGate | undefined {
    const views = [...candidates].filter(({ node }) => !placement.excluded.has(node.name));
    const usual = medianServiceTime(views);
    let best: PlacedGate | undefined;
    let ties = 0;
    for (const view of views) {
      const expected = expectedMilliseconds(view, usual, placement.now);
      const cost = this.cost(view, expected, placement);
      const difference = cost - (best?.cost ?? Infinity);
      if (difference < -tieCost) {
        best = { cost, nextCost: best?.cost ?? Infinity, view };
        ties = 1;
        continue;
      }
      const isTie = difference < tieCost;
      if (isTie) ties += 1;
      const isDrawn = isTie && this.options.random.next() * ties < 1;
      if (best !== undefined) {
        best = {
          cost: best.cost,
          nextCost: Math.min(best.nextCost, cost),
          view: isDrawn ? view : best.view,
        };
      }
    }
    return best;
  }

  /** What an answer costs that a gate is expected to give after the given time. */
  public cost(view: GateView, expected: number, placement: Placement): number {
    const { kilobytes, targetMilliseconds } = placement;
    const { load, node, unreported } = view;
    const isNear = isSameZone(node, this.options);
    const way =
      node.region === this.options.region ? otherZoneMilliseconds : otherRegionMilliseconds;
    const time = isNear ? expected : expected + way;
    const used = Math.min(1, (load.running + load.waiting + unreported) / Math.max(1, load.limit));
    const target = Math.max(1, targetMilliseconds);
    const isWaiting = load.slowdown > 1 || expected > load.serviceMilliseconds * waitingFactor;
    const longer = isWaiting ? longerWaitShare : 0;
    return (
      (1 - longer) * lateness(time / target) +
      longer * lateness((time + slowSpanMilliseconds) / target) +
      (time / millisecondsPerSecond) * costPerSecond +
      crowdingCost * used ** 2 +
      load.failureShare +
      (isNear ? 0 : kilobytes * costPerKilobyte)
    );
  }
}

const millisecondsPerSecond = 1_000;

/** Risk that an answer comes too late that is expected after this share of its target. */
function lateness(share: number): number {
  const risk = (share - safeShare) / (lateShare - safeShare);
  return Math.min(1, Math.max(0, risk)) ** 2;
}

/** Expected time until an answer. */
function expectedMilliseconds(
  { load, loadAt, unreported }: GateView,
  usual: number,
  now: number,
): number {
  const limit = Math.max(1, load.limit);
  const own = load.serviceMilliseconds;
  const service = own > usual * slowServerFactor ? own : usual;
  const excess = load.running + load.waiting + unreported + 1 - limit;
  const unreportedWait = (Math.min(unreported, Math.max(0, excess)) * service) / limit;
  const wait = load.waitMilliseconds + unreportedWait;
  return service + wait + slowSpanDelay(load.slowdown, now - loadAt);
}

/** Time that a request loses in the rest of a slow span that was reported a while ago. */
function slowSpanDelay(slowdown: number, age: number): number {
  if (slowdown <= 1 || age >= slowSpanMilliseconds) return 0;
  const rest = (slowSpanMilliseconds - age) / 2;
  return rest * (1 - 1 / slowdown) * (1 - age / slowSpanMilliseconds);
}

function medianServiceTime(views: readonly GateView[]): number {
  const times = views.map(({ load }) => load.serviceMilliseconds).sort((a, b) => a - b);
  return times[Math.floor((times.length - 1) / 2)] ?? 0;
}
