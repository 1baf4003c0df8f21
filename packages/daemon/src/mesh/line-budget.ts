const millisecondsPerSecond = 1_000;

/** How many lines of one kind may be written in a second; what is left out is counted. */
export class LineBudget {
  private left: number;
  private second = 0;
  private suppressed = 0;

  public constructor(private readonly linesPerSecond: number) {
    this.left = linesPerSecond;
  }

  /** Takes room for lines that are written together or not at all. */
  public take(now: number, lines = 1): boolean {
    const second = Math.floor(now / millisecondsPerSecond);
    if (second !== this.second) {
      this.second = second;
      this.left = this.linesPerSecond;
    }
    if (this.left < lines) {
      this.suppressed += lines;
      return false;
    }
    this.left -= lines;
    return true;
  }

  /** Lines that were left out since the last question. */
  public takeSuppressed(): number {
    const { suppressed } = this;
    this.suppressed = 0;
    return suppressed;
  }
}
