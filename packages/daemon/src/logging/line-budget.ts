const millisecondsPerSecond = 1_000;

/** Limits how many log lines of one kind are written per second, and counts the suppressed ones. */
export class LineBudget {
  private remaining: number;
  private second = 0;
  private suppressed = 0;

  public constructor(private readonly linesPerSecond: number) {
    this.remaining = linesPerSecond;
  }

  /** Reserves room for lines that are written together or not at all; `now` is in milliseconds. */
  public tryTake(now: number, lines = 1): boolean {
    const second = Math.floor(now / millisecondsPerSecond);
    if (second !== this.second) {
      this.second = second;
      this.remaining = this.linesPerSecond;
    }
    if (this.remaining < lines) {
      this.suppressed += lines;
      return false;
    }
    this.remaining -= lines;
    return true;
  }

  /** Returns the number of lines suppressed since the last call. */
  public takeSuppressed(): number {
    const { suppressed } = this;
    this.suppressed = 0;
    return suppressed;
  }
}
