import { Crowding, CrowdingEstimator } from './crowding-estimator.js';

/** Share of the slots that can be in use without slowing down any server. */
const fullSpeedSlotShare = 0.8;
/** A request counts as uncrowded if more slots were in use for at most this share of its time. */
const maximumUncrowdedShare = 0.25;
/** A request counts as crowded if more slots were in use for at least this share of its time. */
const minimumCrowdedShare = 0.75;
/** Responses needed with few and with nearly all slots in use before it is decided whether the server slows down. */
const minimumSamples = 20;
/**
 * The last slots are used if that raises the throughput by at least this factor. At the same throughput, requests take
 * longer in them.
 */
const minimumThroughputGain = 1.15;
/** Number of responses after which the limit that is not in force is tried again, as the decision may be wrong. */
const reviewIntervalResponses = 200;
/** Number of responses after which such a trial ends. */
const trialResponses = 40;

/** A response as far as it shows whether the server slows down when it is nearly full. */
export interface CrowdingSample {
  readonly routeName: string;
  /** Share of the request's time for which more than the full-speed slots were in use. */
  readonly crowdedShare: number;
  /** Whether the request started in one of the last slots. */
  readonly isCrowdedAtStart: boolean;
  readonly milliseconds: number;
}

/**
 * Limits how many requests a server runs at the same time. Some servers slow down when nearly all of their
 * slots are in use, so that using the last slots lowers the throughput. The service times of requests that
 * ran with few and with nearly all slots in use show which servers do. Under overload only one of the two would ever
 * be seen, so the limit that is not in force is tried from time to time.
 */
export class ConcurrencyLimit {
  private readonly crowding = new CrowdingEstimator();
  private untrackedRunning = 0;
  private isCold = false;
  private crowdedSince: number | undefined;
  private crowdedBefore = 0;
  /** Whether the limit that is not in force is being tried. */
  private isTrial = false;
  /** Responses since a trial began or ended. */
  private phaseResponses = 0;

  /**
   * Compares the server's own count of running requests with the gate's. The difference was started by an
   * earlier incarnation of the gate and still holds slots.
   */
  public recordServerRunning(serverRunning: number, ownRunning: number): void {
    this.untrackedRunning = Math.max(0, serverRunning - ownRunning);
  }

  /** Records how many requests run from now on. */
  public recordRunning(slots: number, running: number, now: number): void {
    this.crowdedBefore = this.crowdedMilliseconds(now);
    this.crowdedSince = isCrowded(slots, running) ? now : undefined;
  }

  /** Time for which more than the full-speed slots have been in use, in total. */
  public crowdedMilliseconds(now: number): number {
    return this.crowdedBefore + (this.crowdedSince === undefined ? 0 : now - this.crowdedSince);
  }

  /** Whether more than the full-speed slots are in use. */
  public get isCrowded(): boolean {
    return this.crowdedSince !== undefined;
  }

  public recordResponse(sample: CrowdingSample): void {
    // A cold server is slow for another reason.
    if (this.isCold) return;
    this.crowding.record(sample.routeName, toCrowding(sample), sample.milliseconds);
    this.countResponse();
  }

  /** Sets whether the server is still slow because it has just started. */
  public setCold(isCold: boolean): void {
    this.isCold = isCold;
  }

  /** Forgets the routes that are no longer configured. */
  public retainRoutes(routeNames: ReadonlySet<string>): void {
    this.crowding.retainRoutes(routeNames);
  }

  /**
   * Slots for requests of callers. A cold server is slow already, so its last slots stay unused until enough
   * responses show whether it slows down further when nearly full.
   */
  public limit(slots: number): number {
    const usable = this.isRestricted(slots) ? fullSpeedSlots(slots) : slots;
    return Math.max(1, usable - this.untrackedRunning);
  }

  /**
   * Slots for nested calls. They may also use the slots that are kept free of callers' requests, so that their
   * parents can finish.
   */
  public nestedLimit(slots: number): number {
    return Math.max(1, slots - this.untrackedRunning);
  }

  private isRestricted(slots: number): boolean {
    const { crowdedSamples, uncrowdedSamples } = this.crowding;
    const isKnown = crowdedSamples >= minimumSamples && uncrowdedSamples >= minimumSamples;
    if (!isKnown) return this.isCold || crowdedSamples >= minimumSamples;
    const worthwhileFactor = slots / fullSpeedSlots(slots) / minimumThroughputGain;
    const isSlowerWhenFull = this.crowding.isSlowerThan(worthwhileFactor);
    return this.isTrial && !this.isCold ? !isSlowerWhenFull : isSlowerWhenFull;
  }

  private countResponse(): void {
    this.phaseResponses += 1;
    if (this.phaseResponses < (this.isTrial ? trialResponses : reviewIntervalResponses)) return;
    this.isTrial = !this.isTrial;
    this.phaseResponses = 0;
  }
}

function toCrowding({ crowdedShare, isCrowdedAtStart }: CrowdingSample): Crowding {
  if (isCrowdedAtStart && crowdedShare >= minimumCrowdedShare) return Crowding.Crowded;
  if (!isCrowdedAtStart && crowdedShare <= maximumUncrowdedShare) return Crowding.Uncrowded;
  return Crowding.Mixed;
}

function isCrowded(slots: number, running: number): boolean {
  return running > fullSpeedSlots(slots);
}

function fullSpeedSlots(slots: number): number {
  return Math.max(1, Math.floor(slots * fullSpeedSlotShare));
}
