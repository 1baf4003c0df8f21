import type { ClockReading } from '../shared/clock-reading.js';

/** Ticks come every 50 ms at least; a longer gap means that the process did not run. */
const pauseMilliseconds = 100;
/** Time after a pause in which requests are read that had been waiting in its sockets. */
const backlogMilliseconds = 2_000;

/**
 * Dates the arrival of requests. A request that waited in a socket while the process was paused may
 * be older than a refusal of its key that another node passed on, so after a pause requests are dated
 * to its start; the home then takes them for void.
 */
export class EntryClock {
  private lastTickAt: ClockReading | undefined;
  private pausedAt: ClockReading | undefined;
  private backlogUntil = Number.NEGATIVE_INFINITY;

  public tick(now: ClockReading): void {
    this.notice(now);
    this.lastTickAt = now;
  }

  /** Wall time at or before which a request that is read now had arrived. */
  public receivedAt(now: ClockReading): number {
    this.notice(now);
    const isBacklog = now.monotonic < this.backlogUntil;
    return isBacklog ? (this.pausedAt?.wall ?? now.wall) : now.wall;
  }

  private notice(now: ClockReading): void {
    const { lastTickAt } = this;
    if (lastTickAt === undefined || now.monotonic - lastTickAt.monotonic < pauseMilliseconds) {
      return;
    }
    if (now.monotonic >= this.backlogUntil) {
      this.pausedAt = lastTickAt;
    }
    this.backlogUntil = now.monotonic + backlogMilliseconds;
    this.lastTickAt = now;
  }
}
