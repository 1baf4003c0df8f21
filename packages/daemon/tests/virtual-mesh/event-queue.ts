import { MinimumHeap } from '@peridotspring/core';

interface Event {
  readonly action: () => void;
  isCancelled: boolean;
}

/** Time that passes only from one event to the next. */
export class EventQueue {
  public now = 0;
  private readonly events = new MinimumHeap<Event>();
  /** Keeps events of the same time in the order in which they were added. */
  private added = 0;

  public after(milliseconds: number, action: () => void): () => void {
    const event: Event = { action, isCancelled: false };
    this.added += 1;
    this.events.push(this.now + milliseconds + this.added * 1e-9, event);
    return () => {
      event.isCancelled = true;
    };
  }

  /** Plays the events up to a time. Promises that an event settles are followed before the next one. */
  public async runUntil(time: number): Promise<void> {
    for (;;) {
      const due = this.events.peekTime();
      if (due === undefined || due > time) break;
      const event = this.events.popDue(due);
      this.now = Math.max(this.now, due);
      if (event === undefined || event.isCancelled) continue;
      event.action();
      for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    }
    this.now = Math.max(this.now, time);
  }
}
