import { MinimumHeap } from '@peridotspring/core';

interface QueuedEvent {
  readonly action: () => void;
  isCancelled: boolean;
}

/** Virtual clock and event queue: time advances directly from one scheduled event to the next. */
export class EventQueue {
  public now = 0;
  private readonly events = new MinimumHeap<QueuedEvent>();
  /** Offset that keeps events with the same time in the order in which they were added. */
  private addedCount = 0;

  public after(milliseconds: number, action: () => void): () => void {
    const event: QueuedEvent = { action, isCancelled: false };
    this.addedCount += 1;
    this.events.push(this.now + milliseconds + this.addedCount * 1e-9, event);
    return () => {
      event.isCancelled = true;
    };
  }

  /** Runs all events up to the time. Continuations of promises that an event settles run before the next event. */
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
