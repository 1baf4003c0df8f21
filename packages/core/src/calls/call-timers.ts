import { MinimumHeap } from '../shared/minimum-heap.js';
import type { CallState } from './call-state.js';

/** What is due for a call. */
export type TimerKind = 'deadline' | 'hedge';

interface Timer {
  readonly kind: TimerKind;
  readonly state: CallState;
}

/** Outdated timers are dropped together when they are more than half, above this number. */
const smallestCompaction = 1_024;

/** Deadlines and hedge times of calls. A tick costs time for the due ones only. */
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

  /** Long deadlines of calls that ended early would fill the heap. */
  public compact(callsInProgress: number): void {
    if (this.heap.size < smallestCompaction || this.heap.size < 4 * callsInProgress) return;
    this.heap.retain((timer) => this.isInProgress(timer.state));
  }
}
