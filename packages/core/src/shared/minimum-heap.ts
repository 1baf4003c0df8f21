interface HeapEntry<Value> {
  readonly time: number;
  readonly value: Value;
}

/**
 * A binary heap of values ordered by time. Entries cannot be updated; owners add new ones and skip
 * outdated ones.
 */
export class MinimumHeap<Value> {
  private entries: HeapEntry<Value>[] = [];

  public get size(): number {
    return this.entries.length;
  }

  public push(time: number, value: Value): void {
    this.entries.push({ time, value });
    this.siftUp(this.entries.length - 1);
  }

  /** Returns the earliest value without removing it. */
  public peek(): Value | undefined {
    return this.entries[0]?.value;
  }

  /** The time of the earliest value. */
  public peekTime(): number | undefined {
    return this.entries[0]?.time;
  }

  /** Removes and returns the earliest value if it is due at the given time. */
  public popDue(now: number): Value | undefined {
    const first = this.entries[0];
    if (first === undefined || first.time > now) return undefined;
    const last = this.entries.pop();
    if (last !== undefined && last !== first) {
      this.entries[0] = last;
      this.siftDown(0);
    }
    return first.value;
  }

  /** Removes all values for which the predicate returns false, in time proportional to the size. */
  public retain(isKept: (value: Value) => boolean): void {
    this.entries = this.entries.filter((entry) => isKept(entry.value));
    for (let index = (this.entries.length >> 1) - 1; index >= 0; index -= 1) this.siftDown(index);
  }

  private timeAt(index: number): number {
    return this.entries[index]?.time ?? Infinity;
  }

  private swap(first: number, second: number): void {
    const upper = this.entries[first];
    const lower = this.entries[second];
    if (upper === undefined || lower === undefined) return;
    this.entries[first] = lower;
    this.entries[second] = upper;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.timeAt(parent) <= this.timeAt(index)) return;
      this.swap(parent, index);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.timeAt(left + 1) < this.timeAt(left) ? left + 1 : left;
      if (this.timeAt(child) >= this.timeAt(index)) return;
      this.swap(child, index);
      index = child;
    }
  }
}
