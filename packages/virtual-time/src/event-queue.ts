import { MinimumHeap } from '@peridotspring/core';
import type { ClockReading } from '@peridotspring/core';

/** Virtual time in milliseconds and what is to happen in it. */
export class EventQueue {
  private readonly events = new MinimumHeap<() => void>();
  private time = 0;

  /** The reading of a node's clocks; both are equal in virtual time. */
  public get now(): ClockReading {
    return { monotonic: this.time, wall: this.time };
  }

  /** Runs the action after the delay. */
  public after(delayMilliseconds: number, action: () => void): void {
    this.events.push(this.time + delayMilliseconds, action);
  }

  /** Runs everything that is due until the time. */
  public runUntil(end: number): void {
    for (;;) {
      const next = this.events.peekTime();
      if (next === undefined || next > end) break;
      this.time = Math.max(this.time, next);
      this.events.popDue(next)?.();
    }
    this.time = end;
  }
}
