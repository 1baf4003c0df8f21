import { serviceDefaults } from '../messages/service-configuration.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** Settings of {@link PollScheduler}. */
export interface PollSettings {
  /** Time that one request to a health or load endpoint takes at the upstream. */
  readonly requestMilliseconds: number;
  /** Requests per poll: one for health and one for load. */
  readonly requestsPerPoll: number;
  /** Slots that such a request occupies for that time; all slots of the upstream if undefined. */
  readonly slotsPerRequest: number | undefined;
  /** Minimum time between the starts of two polls, even if the budget allows more. */
  readonly minimumIntervalMilliseconds: number;
  /** Time after which a poll that has not finished no longer delays the next one. */
  readonly abandonedAfterMilliseconds: number;
}

/**
 * Defaults of {@link PollSettings}: as specified, a request takes 6 ms on all slots of the upstream.
 */
export const defaultPollSettings: PollSettings = {
  abandonedAfterMilliseconds: 10_000,
  minimumIntervalMilliseconds: 1_000,
  requestMilliseconds: 6,
  requestsPerPoll: 2,
  slotsPerRequest: undefined,
};

/** Slot time of the upstream that polling was allowed to use and has used, for counters. */
export interface PollBudget {
  readonly allowedSlotMilliseconds: number;
  readonly spentSlotMilliseconds: number;
}

/**
 * Schedules polls of the upstream with a token bucket in slot-milliseconds. The bucket starts empty and
 * holds the cost of one poll at most, so the slot time spent never exceeds the budget, and unused budget
 * does not accumulate to a burst of polls.
 */
export class PollScheduler {
  private share = serviceDefaults.probeBudgetShare;
  private slots = 0;
  private accruedUntil = 0;
  private tokens = 0;
  private allowedSlotMilliseconds = 0;
  private spentSlotMilliseconds = 0;
  private lastPollAt = Number.NEGATIVE_INFINITY;
  private isPollInProgress = false;

  public constructor(private readonly settings: PollSettings = defaultPollSettings) {}

  /** Sets the share of slot time for polls; tokens accrued so far are kept. */
  public configure(probeBudgetShare: number, now: ClockReading): void {
    this.accrue(now.monotonic);
    this.share = probeBudgetShare;
  }

  /** Sets the announced slots; 0 if there is no upstream. */
  public setSlots(slots: number, now: ClockReading): void {
    this.accrue(now.monotonic);
    this.slots = slots;
    this.tokens = Math.min(this.tokens, this.pollCost);
  }

  /** If a poll is due, charges the budget and returns true; the caller must then poll the upstream. */
  public tryStartPoll(now: ClockReading): boolean {
    const time = now.monotonic;
    this.accrue(time);
    const cost = this.pollCost;
    const wait = this.isPollInProgress
      ? this.settings.abandonedAfterMilliseconds
      : this.settings.minimumIntervalMilliseconds;
    if (this.slots === 0 || this.tokens < cost || time - this.lastPollAt < wait) return false;
    this.tokens -= cost;
    this.spentSlotMilliseconds += cost;
    this.lastPollAt = time;
    this.isPollInProgress = true;
    return true;
  }

  /** Monotonic time at which the next poll is due. */
  public get nextDueAt(): number {
    if (this.slots === 0) return Number.POSITIVE_INFINITY;
    const { abandonedAfterMilliseconds, minimumIntervalMilliseconds } = this.settings;
    const wait = this.isPollInProgress ? abandonedAfterMilliseconds : minimumIntervalMilliseconds;
    const lacking = Math.max(0, this.pollCost - this.tokens);
    const affordableAt =
      lacking === 0 ? 0 : this.accruedUntil + lacking / (this.share * this.slots);
    return Math.max(this.lastPollAt + wait, affordableAt);
  }

  /** Records that the poll in progress has finished. */
  public onPollFinished(): void {
    this.isPollInProgress = false;
  }

  /** Totals so far; the allowed slot time includes tokens that did not fit into the full bucket. */
  public budget(now: ClockReading): PollBudget {
    this.accrue(now.monotonic);
    return {
      allowedSlotMilliseconds: this.allowedSlotMilliseconds,
      spentSlotMilliseconds: this.spentSlotMilliseconds,
    };
  }

  private get pollCost(): number {
    const { requestMilliseconds, requestsPerPoll, slotsPerRequest } = this.settings;
    return requestMilliseconds * requestsPerPoll * (slotsPerRequest ?? this.slots);
  }

  private accrue(now: number): void {
    const elapsed = Math.max(0, now - this.accruedUntil);
    this.accruedUntil = Math.max(this.accruedUntil, now);
    const accrued = elapsed * this.share * this.slots;
    this.allowedSlotMilliseconds += accrued;
    this.tokens = Math.min(this.pollCost, this.tokens + accrued);
  }
}
