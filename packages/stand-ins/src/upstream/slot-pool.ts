/** Runs at most a given number of requests at once; the others wait in order of arrival. */
export class SlotPool {
  private taken = 0;
  private readonly waiting: (() => void)[] = [];

  public constructor(private readonly slots: number) {}

  public get inUse(): number {
    return this.taken;
  }

  public get queued(): number {
    return this.waiting.length;
  }

  /** Resolves to true with a slot, or to false if the signal came first. */
  public async take(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.taken < this.slots) {
      this.taken += 1;
      return true;
    }
    return new Promise((resolve) => {
      const grant = (): void => {
        signal.removeEventListener('abort', withdraw);
        resolve(true);
      };
      const withdraw = (): void => {
        this.waiting.splice(this.waiting.indexOf(grant), 1);
        resolve(false);
      };
      signal.addEventListener('abort', withdraw, { once: true });
      this.waiting.push(grant);
    });
  }

  /** Gives a slot back, to the first that waits. */
  public release(): void {
    const next = this.waiting.shift();
    if (next === undefined) this.taken -= 1;
    else next();
  }
}
