const minimumBackOffMilliseconds = 150;
const maximumBackOffMilliseconds = 1_000;

/** Delays that all end early when this object is closed. */
export class CancellableDelays {
  private readonly wakeCallbacks = new Set<() => void>();
  private isClosed = false;

  public constructor(private readonly random: () => number) {}

  public async sleep(milliseconds: number): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.wakeCallbacks.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.wakeCallbacks.add(wake);
    });
  }

  /** Waits for a random fraction of the time, so that nodes that react to the same event spread their calls. */
  public async sleepWithJitter(milliseconds: number): Promise<void> {
    await this.sleep(milliseconds * this.random());
  }

  /** Exponential back-off with jitter after a call that has failed this many times in a row, for a limited time. */
  public async backOff(failures: number, limitMilliseconds = Infinity): Promise<void> {
    const delay = minimumBackOffMilliseconds * 2 ** Math.min(failures - 1, 5);
    const jittered = Math.min(maximumBackOffMilliseconds, delay) * (0.5 + this.random());
    await this.sleep(Math.min(jittered, limitMilliseconds));
  }

  public close(): void {
    this.isClosed = true;
    for (const wake of this.wakeCallbacks) wake();
  }
}
