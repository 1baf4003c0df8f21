interface QueuedEvent {
  readonly at: number;
  /** Keeps events of the same time in the order in which they were added. */
  readonly order: number;
  readonly action: () => void;
}

/** Events in the order of their virtual time (a binary heap). */
export class ControlEventQueue {
  private readonly heap: QueuedEvent[] = [];
  private nextOrder = 0;

  public add(at: number, action: () => void): void {
    this.heap.push({ at, order: this.nextOrder, action });
    this.nextOrder += 1;
    this.raise(this.heap.length - 1);
  }

  /** Removes and returns the earliest event at or before the given time. */
  public take(until: number): QueuedEvent | undefined {
    const [first] = this.heap;
    if (first === undefined || first.at > until) return undefined;
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.sink();
    }
    return first;
  }

  private raise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const child = right < this.heap.length && this.isBefore(right, left) ? right : left;
      if (!this.isBefore(child, index)) return;
      this.swap(index, child);
      index = child;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const first = this.heap[left];
    const second = this.heap[right];
    if (first === undefined || second === undefined) return false;
    return first.at < second.at || (first.at === second.at && first.order < second.order);
  }

  private swap(left: number, right: number): void {
    const moved = this.heap[left];
    const other = this.heap[right];
    if (moved === undefined || other === undefined) return;
    this.heap[left] = other;
    this.heap[right] = moved;
  }
}
