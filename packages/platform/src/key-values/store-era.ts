/**
 * Time for which a store answers with lower eras only before its count is taken to have begun anew. Old reads
 * are seconds behind, so answers of an earlier copy have ended by then.
 */
const newCountMilliseconds = 10_000;

/** Which copy of the store an answer comes from. */
export const EraFinding = {
  Current: 'current',
  /** From a copy that has been replaced; what it says no longer holds. */
  Outdated: 'outdated',
  /** The store has come back from an older copy since the last answer: what it had acknowledged may be gone. */
  Restored: 'restored',
} as const;
export type EraFinding = (typeof EraFinding)[keyof typeof EraFinding];

/**
 * The era of the store, as its answers tell it. A store that is restored from a copy gives revisions out again
 * and begins a new era, so revisions of different eras can't be compared. Answers without an era are taken as
 * current: there are stores that don't count them.
 */
export class StoreEra {
  private known: number | undefined;
  private lowerSince: number | undefined;

  /** Undefined until an answer told it. */
  public get current(): number | undefined {
    return this.known;
  }

  /** An answer came with this era. */
  public note(era: number | undefined, now: number): EraFinding {
    if (era === undefined) return EraFinding.Current;
    const { known } = this;
    if (known === undefined || era === known) {
      this.known = era;
      this.lowerSince = undefined;
      return EraFinding.Current;
    }
    if (era < known) {
      this.lowerSince ??= now;
      if (now - this.lowerSince < newCountMilliseconds) return EraFinding.Outdated;
    }
    this.known = era;
    this.lowerSince = undefined;
    return EraFinding.Restored;
  }
}
