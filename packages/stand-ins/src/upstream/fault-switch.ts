import type { UpstreamFaults } from './upstream-faults.js';
import { noUpstreamFaults } from './upstream-faults.js';

/** Holds the faults in force and lets frozen requests wait until they are thawed. */
export class FaultSwitch {
  private current = noUpstreamFaults;
  private coldSince = Number.NEGATIVE_INFINITY;
  private readonly frozen = new Set<() => void>();

  public get faults(): UpstreamFaults {
    return this.current;
  }

  /** Changes the named faults at the Unix time `now`. */
  public change(faults: Partial<UpstreamFaults>, now: number): void {
    this.current = { ...this.current, ...faults };
    if (faults.coldStart !== undefined) this.coldSince = now;
    if (this.current.freeze) return;
    for (const thaw of this.frozen) thaw();
  }

  /** Factor by which service times are longer at the Unix time `now`. */
  public slowdown(now: number): number {
    const { coldStart, slowFactor } = this.current;
    const elapsed = now - this.coldSince;
    if (elapsed >= coldStart.milliseconds) return slowFactor;
    const remaining = 1 - elapsed / coldStart.milliseconds;
    return slowFactor * (1 + (coldStart.factor - 1) * remaining);
  }

  /** Resolves when the upstream is not frozen, or when the signal aborts. */
  public async thawed(signal: AbortSignal): Promise<void> {
    if (!this.current.freeze || signal.aborted) return;
    await new Promise<void>((resolve) => {
      const thaw = (): void => {
        this.frozen.delete(thaw);
        signal.removeEventListener('abort', thaw);
        resolve();
      };
      this.frozen.add(thaw);
      signal.addEventListener('abort', thaw, { once: true });
    });
  }
}
