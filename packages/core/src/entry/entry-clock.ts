import type { ClockReading } from '../shared/clock-reading.js';

/** Ticks are at most 50 ms apart; a gap of this length means that the process was paused. */
const pauseThresholdMilliseconds = 100;
/** Time after a pause during which requests may be read that waited in sockets during the pause. */
const backlogMilliseconds = 2_000;

/**
 * Determines the arrival time of requests. While the process was paused, a request may have waited in a
 * socket, and meanwhile another node may have forwarded a refusal of its key. Requests read after a
 * pause are therefore dated to the start of the pause, so that the home treats them as void.
 */
export class EntryClock {
  private lastTickAt: ClockReading | undefined;
  private pausedAt: ClockReading | undefined;
  private backlogUntil = Number.NEGATIVE_INFINITY;

  public tick(now: ClockReading): void {
    this.detectPause(now);
    this.lastTickAt = now;
  }

  /**
   * Arrival time (wall time) of a request that is read now; after a pause, the earliest time at which
   * it can have arrived.
   */
  public arrivalTime(now: ClockReading): number {
    this.detectPause(now);
    const isBacklog = now.monotonic < this.backlogUntil;
    return isBacklog ? (this.pausedAt?.wall ?? now.wall) : now.wall;
  }

  private detectPause(now: ClockReading): void {
    const { lastTickAt } = this;
    if (
      lastTickAt === undefined ||
      now.monotonic - lastTickAt.monotonic < pauseThresholdMilliseconds
    ) {
      return;
    }
    if (now.monotonic >= this.backlogUntil) {
      this.pausedAt = lastTickAt;
    }
    this.backlogUntil = now.monotonic + backlogMilliseconds;
    this.lastTickAt = now;
  }
}
