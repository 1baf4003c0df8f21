/** Share of the machine's memory that is released between two looks at the memory of the process. */
const releasedShare = 1 / 16;
/** Share of the machine's memory from which on released buffers are worth a collection; calm processes stay below. */
const fullShare = 0.5;
/** Share from which on garbage is collected without regard to the time that it takes. */
const urgentShare = 0.6;
/** A collection takes some 10 to 30 ms, so at most about a tenth of the time is spent on them below the urgent share. */
const minimumIntervalMilliseconds = 250;

export interface CollectionScheduleOptions {
  /** Memory of the machine. */
  readonly limitBytes: number;
  /** Memory that the process takes now. */
  readonly residentBytes: () => number;
}

/**
 * Decides when to collect garbage. The runtime frees the buffers of large bodies late, since they hardly fill its own heap; a
 * crowd of clients could fill the memory of the machine with buffers that nobody holds any more.
 */
export class CollectionSchedule {
  private releasedBytes = 0;
  private lastCollectionAt = -Infinity;

  public constructor(private readonly options: CollectionScheduleOptions) {}

  /** Returns whether to collect garbage now, after bytes were released. */
  public onReleased(bytes: number, now: number): boolean {
    this.releasedBytes += bytes;
    if (this.releasedBytes < releasedShare * this.options.limitBytes) return false;
    this.releasedBytes = 0;
    const share = this.options.residentBytes() / this.options.limitBytes;
    const isRecent = now - this.lastCollectionAt < minimumIntervalMilliseconds;
    if (share < (isRecent ? urgentShare : fullShare)) return false;
    this.lastCollectionAt = now;
    return true;
  }
}
