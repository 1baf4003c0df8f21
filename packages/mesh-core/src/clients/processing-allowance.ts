export interface ProcessingAllowanceOptions {
  /** Processor time that is available at first. */
  readonly initialMicroseconds: number;
  /** Processor time that may be saved up. */
  readonly maximumMicroseconds: number;
  /** Share of a core that may be used over a longer time. */
  readonly share: number;
}

const microsecondsPerMillisecond = 1_000;

/** Processor time for the input of a client, or of several: what is not used is saved up to a limit. */
export class ProcessingAllowance {
  private available: number;

  public constructor(
    private readonly options: ProcessingAllowanceOptions,
    private updatedAt: number,
  ) {
    this.available = options.initialMicroseconds;
  }

  /** May take more than is available; the difference is owed. */
  public spend(microseconds: number, now: number): void {
    this.update(now);
    this.available -= microseconds;
  }

  public isUsedUp(now: number): boolean {
    this.update(now);
    return this.available <= 0;
  }

  /** Time until some is available again, in milliseconds. */
  public millisecondsUntilAvailable(now: number): number {
    this.update(now);
    if (this.available > 0) return 0;
    return (1 - this.available) / (this.options.share * microsecondsPerMillisecond);
  }

  private update(now: number): void {
    const { maximumMicroseconds, share } = this.options;
    const added = Math.max(0, now - this.updatedAt) * microsecondsPerMillisecond * share;
    this.available = Math.min(maximumMicroseconds, this.available + added);
    this.updatedAt = now;
  }
}
