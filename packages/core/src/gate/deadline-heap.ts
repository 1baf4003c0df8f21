/** An element of a {@link DeadlineHeap}. */
export interface HeapElement {
  /** Monotonic time by which the response is due. */
  readonly deadline: number;
  /** Index in the heap, maintained by the heap. */
  heapIndex: number;
}

/** Binary heap with the earliest deadline at its root; removal of any element takes O(log n). */
export class DeadlineHeap<Element extends HeapElement> {
  private readonly elements: Element[] = [];

  public get size(): number {
    return this.elements.length;
  }

  /** The element with the earliest deadline. */
  public peek(): Element | undefined {
    return this.elements[0];
  }

  public push(element: Element): void {
    this.elements.push(element);
    this.siftUp(element, this.elements.length - 1);
  }

  /** Removes an element that is in the heap. */
  public remove(element: Element): void {
    const index = element.heapIndex;
    const last = this.elements.pop();
    if (last === undefined || last === element) return;
    this.siftUp(last, index);
    this.siftDown(last, last.heapIndex);
  }

  /**
   * Counts the elements due at or before `deadline`; the children of elements due later are skipped.
   */
  public countDueBy(deadline: number, index = 0): number {
    const element = this.elements[index];
    if (element === undefined || element.deadline > deadline) return 0;
    return 1 + this.countDueBy(deadline, 2 * index + 1) + this.countDueBy(deadline, 2 * index + 2);
  }

  /** The element with the latest deadline. It is a leaf, so only half of the elements are examined. */
  public latest(): Element | undefined {
    let latest: Element | undefined;
    for (let index = this.elements.length >> 1; index < this.elements.length; index += 1) {
      const element = this.elements[index];
      if (element !== undefined && (latest === undefined || element.deadline > latest.deadline)) {
        latest = element;
      }
    }
    return latest;
  }

  private place(element: Element, index: number): void {
    this.elements[index] = element;
    element.heapIndex = index;
  }

  private siftUp(element: Element, start: number): void {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.elements[parentIndex];
      if (parent === undefined || parent.deadline <= element.deadline) break;
      this.place(parent, index);
      index = parentIndex;
    }
    this.place(element, index);
  }

  private siftDown(element: Element, start: number): void {
    let index = start;
    for (;;) {
      const childIndex = this.earlierChild(index);
      const child = this.elements[childIndex];
      if (child === undefined || child.deadline >= element.deadline) break;
      this.place(child, index);
      index = childIndex;
    }
    this.place(element, index);
  }

  private earlierChild(index: number): number {
    const left = this.elements[2 * index + 1];
    const right = this.elements[2 * index + 2];
    return left !== undefined && right !== undefined && right.deadline < left.deadline
      ? 2 * index + 2
      : 2 * index + 1;
  }
}
