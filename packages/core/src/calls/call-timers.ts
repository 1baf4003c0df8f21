import { MinimumHeap } from '../shared/minimum-heap.js';
import type { CallState } from './call-state.js';

/** What happens to a call when the timer is due. */
export type TimerKind = 'deadline' | 'hedge';

interface Timer {
  readonly kind: TimerKind;
  readonly state: CallState;
}

/** Heaps with fewer timers are not compacted. */
const minimumCompactionSize = 1_024;

/** Deadlines and hedge timers of calls. A tick costs time only for the timers that are due. */
export class CallTimers {
  private readonly heap = new MinimumHeap<Timer>();

  public constructor(private readonly isInProgress: (state: CallState) => boolean) {}

  public add(time: number, kind: TimerKind, state: CallState): void {
    this.heap.push(time, { kind, state });
  }

  /** Removes and returns the next due timer of a call in progress. */
  public popDue(now: number): Timer | undefined {
    for (;;) {
      const timer = this.heap.popDue(now);
      if (timer === undefined || this.isInProgress(timer.state)) return timer;
    }
  }

  /** Drops the timers of ended calls, which would otherwise fill the heap until their deadlines. */
  public compact(callsInProgress: number): void {
    if (this.heap.size < minimumCompactionSize || this.heap.size < 4 * callsInProgress) return;
    this.heap.retain((timer) => this.isInProgress(timer.state));
  }
}
