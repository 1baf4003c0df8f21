import type { ClockReading } from './clock-reading.js';

interface Timer {
  readonly dueAt: number;
  readonly action: (now: ClockReading) => void;
}

/**
 * Runs scheduled actions on later ticks. Each operation is linear, so it suits only a few timers at
 * a time.
 */
export class Timers {
  private timers: Timer[] = [];

  public schedule(now: ClockReading, milliseconds: number, action: Timer['action']): void {
    this.timers.push({ dueAt: now.monotonic + milliseconds, action });
  }

  /** Monotonic time at which the next action is due. */
  public get nextDueAt(): number {
    return this.timers.reduce((next, { dueAt }) => Math.min(next, dueAt), Number.POSITIVE_INFINITY);
  }

  /** Runs the actions that are due. Actions scheduled by them run on the next tick at the earliest. */
  public tick(now: ClockReading): void {
    if (!this.timers.some((timer) => timer.dueAt <= now.monotonic)) return;
    const due = this.timers.filter((timer) => timer.dueAt <= now.monotonic);
    this.timers = this.timers.filter((timer) => timer.dueAt > now.monotonic);
    for (const timer of due) {
      timer.action(now);
    }
  }
}
