const shortestRetryMilliseconds = 150;
const longestRetryMilliseconds = 1_000;

/** Waits that all end when their owner closes. */
export class Pauses {
  private readonly sleepers = new Set<() => void>();
  private isClosed = false;

  public constructor(private readonly random: () => number) {}

  public async sleep(milliseconds: number): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.sleepers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.sleepers.add(wake);
    });
  }

  /** Waits for a random part of the time, so that nodes that act for the same reason spread their calls. */
  public async spread(milliseconds: number): Promise<void> {
    await this.sleep(milliseconds * this.random());
  }

  /** Waits before a call that failed this many times in a row is made again. */
  public async beforeRetry(failures: number): Promise<void> {
    const delay = shortestRetryMilliseconds * 2 ** Math.min(failures - 1, 5);
    await this.sleep(Math.min(longestRetryMilliseconds, delay) * (0.5 + this.random()));
  }

  public close(): void {
    this.isClosed = true;
    for (const wake of this.sleepers) wake();
  }
}
