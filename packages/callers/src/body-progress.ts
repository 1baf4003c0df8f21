import type { MemoryHold } from '@peridotspring/mesh-core';

/** Progress of a body is counted in such steps, so that a few bytes now and then don't keep its memory. */
const progressStepBytes = 65_536;

/** Tells the account that the memory of a body is in use as long as the body comes on. */
export class BodyProgress {
  private unreportedBytes = 0;
  private isEnded = false;

  public constructor(
    private readonly holds: readonly MemoryHold[],
    private readonly clock: () => number,
  ) {
    this.report();
  }

  public onRead(byteCount: number): void {
    this.unreportedBytes += byteCount;
    if (this.isEnded || this.unreportedBytes < progressStepBytes) return;
    this.unreportedBytes = 0;
    this.report();
  }

  /** Nothing more is to come. */
  public end(): void {
    this.isEnded = true;
    for (const hold of this.holds) hold.progressedAt = Infinity;
  }

  private report(): void {
    const now = this.clock();
    for (const hold of this.holds) hold.progressedAt = now;
  }
}
