import type { UpstreamFaults } from './upstream-faults.js';

interface LoadSample {
  readonly at: number;
  readonly inFlight: number;
}

const maximumSamples = 100_000;

/** What the load endpoint tells: the truth, a lie, or what was true some time ago. */
export class ReportedLoad {
  private readonly history: LoadSample[] = [];

  /** Records a change of the load at a Unix time. */
  public changed(inFlight: number, at: number): void {
    this.history.push({ at, inFlight });
    if (this.history.length > maximumSamples) this.history.splice(0, maximumSamples / 2);
  }

  /** The number of running requests that the load endpoint tells at a Unix time. */
  public inFlight(load: UpstreamFaults['load'], actual: number, now: number): number {
    switch (load.kind) {
      case 'honest':
        return actual;
      case 'lying':
        return load.inFlight;
      case 'lagging': {
        const seen = this.history.findLast((one) => one.at <= now - load.milliseconds);
        return seen?.inFlight ?? 0;
      }
    }
  }
}
