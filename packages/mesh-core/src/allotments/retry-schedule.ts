import type { RandomSource } from '@peridotspring/core';

const minimumRetryMilliseconds = 250;
const maximumRetryMilliseconds = 5_000;
/** Part of the time that is random, so that callers which were refused together do not return together. */
const randomPart = 0.3;
/** Interval over which the rate of permitted requests is measured. */
const rateIntervalMilliseconds = 1_000;

/**
 * When a refused request of a tenant may return. Each refusal books room at the rate at which this node's requests are
 * permitted, so that those who return at the time they were told find room.
 */
export class RetrySchedule {
  private nextRoomAt = -Infinity;
  private intervalStartedAt = -Infinity;
  private permitted = 0;
  private permittedPerMillisecond = 0;

  public recordPermitted(now: number): void {
    this.startInterval(now);
    this.permitted += 1;
  }

  /** Time after which a request that is refused now should return; `leastRate` is the node's own part of the limit. */
  public book(leastRate: number, random: RandomSource, now: number): number {
    this.startInterval(now);
    const rate = Math.max(leastRate, this.permittedPerMillisecond);
    const earliest = now + minimumRetryMilliseconds;
    this.nextRoomAt = Math.max(this.nextRoomAt, earliest) + (rate > 0 ? 1 / rate : 0);
    const latest = now + maximumRetryMilliseconds;
    this.nextRoomAt = Math.min(this.nextRoomAt, latest);
    return (this.nextRoomAt - now) * (1 + randomPart * random.next());
  }

  private startInterval(now: number): void {
    const elapsed = now - this.intervalStartedAt;
    if (elapsed < rateIntervalMilliseconds) return;
    this.permittedPerMillisecond =
      elapsed < 2 * rateIntervalMilliseconds ? this.permitted / elapsed : 0;
    this.permitted = 0;
    this.intervalStartedAt = now;
  }
}
