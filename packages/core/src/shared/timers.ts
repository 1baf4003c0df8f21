import type { ClockReading } from './clock-reading.js';

interface Timer {
  readonly at: number;
  readonly action: (now: ClockReading) => void;
}

/** Runs actions at later ticks. Meant for a handful of timers at a time. */
export class Timers {
  private timers: Timer[] = [];

  public after(now: ClockReading, milliseconds: number, action: Timer['action']): void {
    this.timers.push({ at: now.monotonic + milliseconds, action });
  }

  /** When the next action is due. */
  public get nextAt(): number {
    return this.timers.reduce((next, { at }) => Math.min(next, at), Number.POSITIVE_INFINITY);
  }

  /** Runs the actions that are due; actions that they add wait for the next tick. */
  public tick(now: ClockReading): void {
    if (!this.timers.some((timer) => timer.at <= now.monotonic)) return;
    const due = this.timers.filter((timer) => timer.at <= now.monotonic);
    this.timers = this.timers.filter((timer) => timer.at > now.monotonic);
    for (const timer of due) {
      timer.action(now);
    }
  }
}
