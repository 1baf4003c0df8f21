import type { RandomSource } from '@peridotspring/core';

import { isSameZone } from '../shared/same-zone.js';
import type { GateView } from './gate-table.js';
import { RouteServiceTimes } from './route-service-times.js';

/** Network round trip to a gate in another availability zone of the region. */
const otherZoneRoundTripMilliseconds = 4;
/** Network round trip to a gate in another region. */
const otherRegionRoundTripMilliseconds = 80;
/** Default of `otherZoneCostPerKilobyte`: an answer of 10 KB leaves its zone if its risk of being late falls by 0.3. */
export const defaultOtherZoneCostPerKilobyte = 0.03;
/** Up to this share of the target latency, an expected answer has no risk of being late. */
const safeTargetShare = 0.45;
/**
 * From this share of the target latency on, an answer is taken as certain to be late. It exceeds 1 because expected
 * times are uncertain.
 */
const lateTargetShare = 1.2;
/** Cost of a second of waiting; it decides between gates when the request is late in any case. */
const costPerSecondOfWaiting = 0.2;
/** Cost of a gate whose slots are all in use, so that load is spread before queues form. */
const fullGateCost = 0.02;
/** Gates whose costs differ by less than this count as equal, and one of them is chosen at random. */
const tieCostDifference = 0.003;
/** Estimated additional delay at a gate that turns out to be busy or slowed down. */
const estimatedBusyDelayMilliseconds = 80;
/** Probability that the wait for a busy or slowed-down server takes `slowdownSpanMilliseconds` longer than expected. */
const additionalSpanProbability = 0.25;
/** Length of the spans in which neighbouring workloads slow a server down; older slowdown reports are ignored. */
const slowdownSpanMilliseconds = 150;
/** An expected time above this multiple of the service time is taken to include a wait. */
const waitingFactor = 1.25;
/**
 * Before the time of a route is known, a server counts as slow if it takes this many times as long as its peers.
 * Different mixes of requests cause smaller differences.
 */
const slowServerFactor = 1.6;

export interface PlacementPolicyOptions {
  readonly availabilityZone: string;
  readonly region: string;
  readonly random: RandomSource;
  /**
   * By how much the risk that an answer is late, from 0 to 1, must fall for each kilobyte that is sent between zones. The
   * operator sets it, as only they know what this traffic costs them.
   */
  readonly otherZoneCostPerKilobyte?: number | undefined;
}

/** What the choice depends on, apart from the gates. */
export interface PlacementContext {
  readonly now: number;
  readonly routeName: string;
  readonly excludedNodes: ReadonlySet<string>;
  /** Mean size of a request and its answer on this route. */
  readonly kilobytes: number;
  /** Time left until the route's target latency has passed; negative once it has. */
  readonly targetMilliseconds: number;
}

/** The chosen gate and its expected cost, as a share of the value of an answer in time. */
export interface GateChoice {
  readonly view: GateView;
  readonly cost: number;
  /** The cost of the second-best gate; infinite if there is no other. */
  readonly nextBestCost: number;
}

/**
 * Chooses the gate with the lowest expected cost. The cost combines the risk that the answer misses the target
 * latency, the share of requests that fail at the gate, and the billed traffic between zones. A short wait in
 * the own zone is therefore preferred to a gate in another zone if it leaves enough time.
 */
export class PlacementPolicy {
  private readonly routeTimes = new RouteServiceTimes();
  private readonly otherZoneCostPerKilobyte: number;

  public constructor(private readonly options: PlacementPolicyOptions) {
    this.otherZoneCostPerKilobyte =
      options.otherZoneCostPerKilobyte ?? defaultOtherZoneCostPerKilobyte;
  }

  /** Records what a gate told with its latest load, which came with a reply to a request of the route. */
  public recordReply(view: GateView, routeName: string, now: number): void {
    this.routeTimes.recordReply(view, routeName, now);
  }

  /** Removes the routes that the configuration no longer declares. */
  public retainRoutes(routeNames: ReadonlySet<string>): void {
    this.routeTimes.retainRoutes(routeNames);
  }

  /** Expected time of a request of the route at the server of a gate, without any wait. */
  public expectedServiceMilliseconds(view: GateView, routeName: string, now: number): number {
    const expected = this.routeTimes.expectedMilliseconds(view, routeName, now);
    return expected ?? view.load.serviceMilliseconds;
  }

  /** As above, but with every difference by which the server takes longer than its peers. */
  public longestServiceMilliseconds(view: GateView, routeName: string, now: number): number {
    const longest = this.routeTimes.longestMilliseconds(view, routeName, now);
    return longest ?? view.load.serviceMilliseconds;
  }

  public choose(candidates: Iterable<GateView>, context: PlacementContext): GateChoice | undefined {
    const views = [...candidates].filter(({ node }) => !context.excludedNodes.has(node.name));
    const medianMilliseconds = medianServiceMilliseconds(views);
    let best: GateChoice | undefined;
    let ties = 0;
    for (const view of views) {
      const { now, routeName } = context;
      const meanMilliseconds = comparedServiceMilliseconds(view, medianMilliseconds);
      const routeMilliseconds = this.routeTimes.expectedMilliseconds(view, routeName, now);
      const answerMilliseconds =
        (routeMilliseconds ?? meanMilliseconds) + expectedDelay(view, meanMilliseconds, now);
      const cost = this.costOf(view, answerMilliseconds, context);
      const costDifference = cost - (best?.cost ?? Infinity);
      if (costDifference < -tieCostDifference) {
        best = { cost, nextBestCost: best?.cost ?? Infinity, view };
        ties = 1;
        continue;
      }
      const isTie = costDifference < tieCostDifference;
      if (isTie) ties += 1;
      const isDrawn = isTie && this.options.random.next() * ties < 1;
      if (best !== undefined) {
        best = {
          cost: best.cost,
          nextBestCost: Math.min(best.nextBestCost, cost),
          view: isDrawn ? view : best.view,
        };
      }
    }
    return best;
  }

  /** Expected cost of a gate that turns out to be busy. */
  public costIfBusy(view: GateView, context: PlacementContext): number {
    const { now, routeName } = context;
    const expected = this.expectedServiceMilliseconds(view, routeName, now);
    return this.costOf(view, expected + estimatedBusyDelayMilliseconds, context);
  }

  /** Cost of having a gate run the request if its answer is expected after `answerMilliseconds`. */
  public costOf(view: GateView, answerMilliseconds: number, context: PlacementContext): number {
    const { kilobytes, now, routeName, targetMilliseconds } = context;
    const { load, node, unreportedRequests } = view;
    const isInOwnZone = isSameZone(node, this.options);
    const roundTripMilliseconds =
      node.region === this.options.region
        ? otherZoneRoundTripMilliseconds
        : otherRegionRoundTripMilliseconds;
    const totalMilliseconds = isInOwnZone
      ? answerMilliseconds
      : answerMilliseconds + roundTripMilliseconds;
    const usedShare = Math.min(
      1,
      (load.running + load.waiting + unreportedRequests) / Math.max(1, load.limit),
    );
    const positiveTargetMilliseconds = Math.max(1, targetMilliseconds);
    const serviceMilliseconds = this.expectedServiceMilliseconds(view, routeName, now);
    const isWaiting = load.slowdown > 1 || answerMilliseconds > serviceMilliseconds * waitingFactor;
    const longerWaitProbability = isWaiting ? additionalSpanProbability : 0;
    return (
      (1 - longerWaitProbability) * latenessRisk(totalMilliseconds / positiveTargetMilliseconds) +
      longerWaitProbability *
        latenessRisk((totalMilliseconds + slowdownSpanMilliseconds) / positiveTargetMilliseconds) +
      (totalMilliseconds / millisecondsPerSecond) * costPerSecondOfWaiting +
      fullGateCost * usedShare ** 2 +
      load.failureShare +
      (isInOwnZone ? 0 : kilobytes * this.otherZoneCostPerKilobyte)
    );
  }
}

const millisecondsPerSecond = 1_000;

/** Risk, from 0 to 1, that an answer is late if it is expected after this share of its target latency. */
function latenessRisk(targetShare: number): number {
  const linearRisk = (targetShare - safeTargetShare) / (lateTargetShare - safeTargetShare);
  return Math.min(1, Math.max(0, linearRisk)) ** 2;
}

/** Expected time for which a request waits, in the queue and for the end of a slowdown. The requests ahead may be of any route. */
function expectedDelay(
  { load, loadReceivedAt, unreportedRequests }: GateView,
  meanMilliseconds: number,
  now: number,
): number {
  const limit = Math.max(1, load.limit);
  const requestsBeyondLimit = load.running + load.waiting + unreportedRequests + 1 - limit;
  const unreportedWait =
    (Math.min(unreportedRequests, Math.max(0, requestsBeyondLimit)) * meanMilliseconds) / limit;
  const totalWait = load.waitMilliseconds + unreportedWait;
  return totalWait + slowdownDelay(load.slowdown, now - loadReceivedAt);
}

/** Service time over all routes of a gate; that of its peers unless the server is notably slower. */
function comparedServiceMilliseconds({ load }: GateView, medianMilliseconds: number): number {
  const { serviceMilliseconds } = load;
  return serviceMilliseconds > medianMilliseconds * slowServerFactor
    ? serviceMilliseconds
    : medianMilliseconds;
}

/** Expected delay, in milliseconds, of a request in the remainder of a slowdown span that was reported earlier. */
function slowdownDelay(slowdown: number, reportAge: number): number {
  if (slowdown <= 1 || reportAge >= slowdownSpanMilliseconds) return 0;
  const meanRemaining = (slowdownSpanMilliseconds - reportAge) / 2;
  return meanRemaining * (1 - 1 / slowdown) * (1 - reportAge / slowdownSpanMilliseconds);
}

function medianServiceMilliseconds(views: readonly GateView[]): number {
  const times = views.map(({ load }) => load.serviceMilliseconds).sort((a, b) => a - b);
  return times[Math.floor((times.length - 1) / 2)] ?? 0;
}
