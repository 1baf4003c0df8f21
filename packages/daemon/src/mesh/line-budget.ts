const millisecondsPerSecond = 1_000;

/** How many lines of one kind may be written in a second; what is left out is counted. */
export class LineBudget {
  private left: number;
  private second = 0;
  private suppressed = 0;

  public constructor(private readonly linesPerSecond: number) {
    this.left = linesPerSecond;
  }

  public take(now: number): boolean {
    const second = Math.floor(now / millisecondsPerSecond);
    if (second !== this.second) {
      this.second = second;
      this.left = this.linesPerSecond;
    }
    if (this.left <= 0) {
      this.suppressed += 1;
      return false;
    }
    this.left -= 1;
    return true;
  }

  /** Lines that were left out since the last question. */
  public takeSuppressed(): number {
    const { suppressed } = this;
    this.suppressed = 0;
    return suppressed;
  }
}
