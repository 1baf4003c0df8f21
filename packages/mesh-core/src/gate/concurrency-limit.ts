import { ExponentialMovingAverage } from '../shared/exponential-moving-average.js';

/** Share of the slots that can be in use without slowing down any server. */
const fullSpeedSlotShare = 0.8;
/** Weight of one response: each average covers about the last fifty. */
const sampleWeight = 0.02;
/** Responses needed with few and with nearly all slots in use before it is decided whether the server slows down. */
const minimumSamples = 12;

/**
 * Limits how many requests a server runs at the same time. Some servers slow down when nearly all of their
 * slots are in use, so that using the last slots lowers the throughput. The service times of requests that
 * started with few and with nearly all slots in use show which servers do.
 */
export class ConcurrencyLimit {
  private untrackedRunning = 0;
  private isCold = false;
  /** Relative service times of requests that started with at most the full-speed slots in use. */
  private readonly below = new ExponentialMovingAverage(1, sampleWeight);
  /** Relative service times of requests that started with more slots in use than that. */
  private readonly above = new ExponentialMovingAverage(1, sampleWeight);

  /**
   * Compares the server's own count of running requests with the gate's. The difference was started by an
   * earlier incarnation of the gate and still holds slots.
   */
  public recordServerRunning(serverRunning: number, ownRunning: number): void {
    this.untrackedRunning = Math.max(0, serverRunning - ownRunning);
  }

  /**
   * Records a response whose request started as one of `running` and took `relativeTime` times the expected
   * service time.
   */
  public recordResponse(slots: number, running: number, relativeTime: number): void {
    (running > fullSpeedSlots(slots) ? this.above : this.below).add(relativeTime);
  }

  /** Sets whether the server is still slow because it has just started. */
  public setCold(isCold: boolean): void {
    this.isCold = isCold;
  }

  /**
   * Slots for requests of callers. A cold server is slow already, so its last slots stay unused until enough
   * responses show whether it slows down further when nearly full.
   */
  public limit(slots: number): number {
    const isRestricted = this.hasEnoughSamples ? this.isSlowerWhenFull(slots) : this.isCold;
    const usable = isRestricted ? fullSpeedSlots(slots) : slots;
    return Math.max(1, usable - this.untrackedRunning);
  }

  /**
   * Slots for nested calls. They may also use the slots that are kept free of callers' requests, so that their
   * parents can finish.
   */
  public nestedLimit(slots: number): number {
    return Math.max(1, slots - this.untrackedRunning);
  }

  /** Whether enough requests have started on both sides of the threshold. */
  private get hasEnoughSamples(): boolean {
    return this.above.sampleCount >= minimumSamples && this.below.sampleCount >= minimumSamples;
  }

  /** Whether using all slots gives a lower throughput than using only those that keep full speed. */
  private isSlowerWhenFull(slots: number): boolean {
    return (this.above.value / this.below.value) * fullSpeedSlots(slots) > slots;
  }
}

function fullSpeedSlots(slots: number): number {
  return Math.max(1, Math.floor(slots * fullSpeedSlotShare));
}
