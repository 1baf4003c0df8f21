/** Starts that are looked at. */
const keptStarts = 8;
/** Fewer starts than this say nothing about the rate. */
const neededStarts = 4;
/** Starts that are older than this say nothing about the present. */
const recentMilliseconds = 1_000;

/** How fast waiting requests get to start, whatever goes before them. */
export class StartRate {
  private readonly starts: number[] = [];

  /** A request that had waited was started. */
  public started(now: number): void {
    this.starts.push(now);
    if (this.starts.length > keptStarts) this.starts.shift();
  }

  /** Mean time between two starts; undefined while too little is known. */
  public intervalMilliseconds(now: number): number | undefined {
    const recent = this.starts.filter((start) => now - start < recentMilliseconds);
    const [first] = recent;
    if (first === undefined || recent.length < neededStarts) return undefined;
    return (now - first) / recent.length;
  }
}
