import type { CallOutcome, RequestClass } from '@peridotspring/core';

/** The fields of a {@link ClassResult}; results from other threads have no methods. */
export type ClassCounts = Pick<ClassResult, 'latencies' | 'refused' | 'unknown' | 'wronglyRefused'>;

/** The fields of a {@link RunResult}. */
export interface RunCounts {
  readonly classes: Readonly<Record<RequestClass, ClassCounts>>;
  readonly pollSlotMilliseconds: number;
  readonly slotMilliseconds: number;
  readonly started: number;
}

/** What was counted of the calls of one class. */
export class ClassResult {
  public readonly latencies: number[] = [];
  public refused = 0;
  public wronglyRefused = 0;
  public unknown = 0;

  public get calls(): number {
    return this.latencies.length + this.refused + this.unknown;
  }

  public add(other: ClassCounts): void {
    for (const latency of other.latencies) this.latencies.push(latency);
    this.refused += other.refused;
    this.wronglyRefused += other.wronglyRefused;
    this.unknown += other.unknown;
  }

  public count(outcome: CallOutcome, latency: number, freeElsewhere: boolean): void {
    switch (outcome.kind) {
      case 'answered':
        this.latencies.push(latency);
        return;
      case 'refused-not-run':
        this.refused += 1;
        if (freeElsewhere) this.wronglyRefused += 1;
        return;
      case 'outcome-unknown':
        this.unknown += 1;
    }
  }

  /** Latencies of answered calls at the quantiles. */
  public quantiles(quantiles: readonly number[]): readonly number[] {
    const sorted = Float64Array.from(this.latencies).sort();
    return quantiles.map((quantile) => {
      const index = Math.min(sorted.length - 1, Math.floor(quantile * sorted.length));
      return sorted[index] ?? Number.NaN;
    });
  }
}

/** What one run, or several with different seeds, gave. */
export class RunResult {
  public readonly classes: Readonly<Record<RequestClass, ClassResult>> = {
    idempotent: new ClassResult(),
    'non-idempotent': new ClassResult(),
  };
  /** Slot-time that polls took, and all there was. */
  public pollSlotMilliseconds = 0;
  public slotMilliseconds = 0;
  /** Attempts that upstreams started; more than calls when calls are repeated. */
  public started = 0;

  public add(other: RunCounts): void {
    this.classes.idempotent.add(other.classes.idempotent);
    this.classes['non-idempotent'].add(other.classes['non-idempotent']);
    this.pollSlotMilliseconds += other.pollSlotMilliseconds;
    this.slotMilliseconds += other.slotMilliseconds;
    this.started += other.started;
  }
}
