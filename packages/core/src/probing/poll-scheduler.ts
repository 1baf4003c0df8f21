import { serviceDefaults } from '../messages/service-configuration.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** Settings of {@link PollScheduler}. */
export interface PollSettings {
  /** Time that one request to a health or load endpoint takes. */
  readonly requestMilliseconds: number;
  /** Requests that one poll makes: health and load. */
  readonly requestsPerPoll: number;
  /** Slots that a request takes for that time; all of the upstream's slots if undefined. */
  readonly slotsPerRequest: number | undefined;
  /** Shortest time between two polls, whatever the budget allows. */
  readonly minimumIntervalMilliseconds: number;
  /** Time after which a poll that was not concluded no longer holds back the next one. */
  readonly abandonedAfterMilliseconds: number;
}

/** Defaults of polling: a probe is stated to take 6 ms on all slots of its upstream. */
export const defaultPollSettings: PollSettings = {
  abandonedAfterMilliseconds: 10_000,
  minimumIntervalMilliseconds: 1_000,
  requestMilliseconds: 6,
  requestsPerPoll: 2,
  slotsPerRequest: undefined,
};

/** What polling may have taken and has taken of the upstream's capacity, for counters. */
export interface PollBudget {
  readonly allowedSlotMilliseconds: number;
  readonly spentSlotMilliseconds: number;
}

/**
 * Token bucket in slot-milliseconds of the upstream. It starts empty and holds one poll at most, so
 * what was spent never exceeds what was allowed, and idle time buys no burst of polls.
 */
export class PollScheduler {
  private share = serviceDefaults.probeBudgetShare;
  private slots = 0;
  private accruedUntil = 0;
  private tokens = 0;
  private allowed = 0;
  private spent = 0;
  private lastPollAt = Number.NEGATIVE_INFINITY;
  private inProgress = false;

  public constructor(private readonly settings: PollSettings = defaultPollSettings) {}

  /** Sets the share of slot-time for polls; what has accrued so far stays as it is. */
  public configure(probeBudgetShare: number, now: ClockReading): void {
    this.accrue(now.monotonic);
    this.share = probeBudgetShare;
  }

  /** Sets the announced slots, 0 while there is no upstream. */
  public announce(slots: number, now: ClockReading): void {
    this.accrue(now.monotonic);
    this.slots = slots;
    this.tokens = Math.min(this.tokens, this.pollCost);
  }

  /** Returns true and charges the budget if the upstream is to be polled now. */
  public due(now: ClockReading): boolean {
    const time = now.monotonic;
    this.accrue(time);
    const cost = this.pollCost;
    const wait = this.inProgress
      ? this.settings.abandonedAfterMilliseconds
      : this.settings.minimumIntervalMilliseconds;
    if (this.slots === 0 || this.tokens < cost || time - this.lastPollAt < wait) return false;
    this.tokens -= cost;
    this.spent += cost;
    this.lastPollAt = time;
    this.inProgress = true;
    return true;
  }

  /** When the next poll is due. */
  public get nextDueAt(): number {
    if (this.slots === 0) return Number.POSITIVE_INFINITY;
    const { abandonedAfterMilliseconds, minimumIntervalMilliseconds } = this.settings;
    const wait = this.inProgress ? abandonedAfterMilliseconds : minimumIntervalMilliseconds;
    const lacking = Math.max(0, this.pollCost - this.tokens);
    const paidAt = lacking === 0 ? 0 : this.accruedUntil + lacking / (this.share * this.slots);
    return Math.max(this.lastPollAt + wait, paidAt);
  }

  /** The poll that was due has ended. */
  public polled(): void {
    this.inProgress = false;
  }

  /** Both counters; what was allowed includes tokens that the full bucket did not take up. */
  public budget(now: ClockReading): PollBudget {
    this.accrue(now.monotonic);
    return { allowedSlotMilliseconds: this.allowed, spentSlotMilliseconds: this.spent };
  }

  private get pollCost(): number {
    const { requestMilliseconds, requestsPerPoll, slotsPerRequest } = this.settings;
    return requestMilliseconds * requestsPerPoll * (slotsPerRequest ?? this.slots);
  }

  private accrue(now: number): void {
    const elapsed = Math.max(0, now - this.accruedUntil);
    this.accruedUntil = Math.max(this.accruedUntil, now);
    const accrued = elapsed * this.share * this.slots;
    this.allowed += accrued;
    this.tokens = Math.min(this.pollCost, this.tokens + accrued);
  }
}
