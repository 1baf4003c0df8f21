import { DecayingMean } from '../shared/decaying-mean.js';

/** Share of the slots up to which every server keeps its speed. */
const fullSpeedShare = 0.8;
/** Weight of one answer: the means cover about the last fifty. */
const sampleWeight = 0.02;
/** Answers that are needed before a server is taken to slow down when nearly all slots are in use. */
const neededSamples = 12;

/**
 * How many requests a server runs at the same time. Some servers slow down when nearly all of their
 * slots are in use, so that the last slots cost more than they bring; the times of requests that
 * started there tell which servers do.
 */
export class ConcurrencyBound {
  private foreign = 0;
  private isCold = false;
  private readonly below = new DecayingMean(1, sampleWeight);
  private readonly above = new DecayingMean(1, sampleWeight);

  /**
   * The server's own count, with the requests that this gate knows of: the rest were started by an
   * earlier life of the gate and still hold slots.
   */
  public reported(serverRunning: number, ownRunning: number): void {
    this.foreign = Math.max(0, serverRunning - ownRunning);
  }

  /** A request took `relativeTime` times as long as usual and started as one of `running`. */
  public answered(slots: number, running: number, relativeTime: number): void {
    (running > fullSpeedSlots(slots) ? this.above : this.below).add(relativeTime);
  }

  /** Whether the server has just started and is slow for that reason. */
  public setCold(isCold: boolean): void {
    this.isCold = isCold;
  }

  /**
   * Slots for requests of callers. A cold server is slow already: until it is known whether it gets slower when
   * nearly full, that is not tried out.
   */
  public limit(slots: number): number {
    const isCareful = this.isKnown ? this.isSlowWhenFull(slots) : this.isCold;
    const usable = isCareful ? fullSpeedSlots(slots) : slots;
    return Math.max(1, usable - this.foreign);
  }

  /** Slots for nested calls: they may use what callers' requests leave free, so that parents go on. */
  public nestedLimit(slots: number): number {
    return Math.max(1, slots - this.foreign);
  }

  /** Whether enough requests have started below and above the full speed. */
  private get isKnown(): boolean {
    return this.above.samples >= neededSamples && this.below.samples >= neededSamples;
  }

  /** Whether all slots together finish less than those up to full speed. */
  private isSlowWhenFull(slots: number): boolean {
    return (this.above.value / this.below.value) * fullSpeedSlots(slots) > slots;
  }
}

function fullSpeedSlots(slots: number): number {
  return Math.max(1, Math.floor(slots * fullSpeedShare));
}
