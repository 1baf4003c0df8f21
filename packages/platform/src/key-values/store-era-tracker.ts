/**
 * Time for which the store has to report only lower eras before a lower era is accepted, on the assumption that the
 * store has restarted its numbering of eras. A stale read can still return the era of a replaced copy, but such reads
 * lag by seconds only, so none is expected after this time.
 */
const lowerEraAcceptedAfterMilliseconds = 10_000;

/** Which copy of the store a response comes from. */
export const EraStatus = {
  Current: 'current',
  /** From a copy that has been replaced; the response is no longer valid. */
  Outdated: 'outdated',
  /** The store was restored from an older copy since the last response: acknowledged writes may be lost. */
  Restored: 'restored',
} as const;
export type EraStatus = (typeof EraStatus)[keyof typeof EraStatus];

/**
 * Tracks the era of the store from its responses. A store that is restored from a copy assigns revisions a second
 * time and starts a new era, so revisions of different eras are not comparable. Responses without an era count as
 * current, since some stores do not report eras.
 */
export class StoreEraTracker {
  private latestEra: number | undefined;
  private lowerErasSince: number | undefined;

  /** The current era; `undefined` until a response has reported one. */
  public get current(): number | undefined {
    return this.latestEra;
  }

  /** Classifies a response by its era, and updates the current era. */
  public observe(era: number | undefined, now: number): EraStatus {
    if (era === undefined) return EraStatus.Current;
    const { latestEra } = this;
    if (latestEra === undefined || era === latestEra) {
      this.latestEra = era;
      this.lowerErasSince = undefined;
      return EraStatus.Current;
    }
    if (era < latestEra) {
      this.lowerErasSince ??= now;
      if (now - this.lowerErasSince < lowerEraAcceptedAfterMilliseconds) return EraStatus.Outdated;
    }
    this.latestEra = era;
    this.lowerErasSince = undefined;
    return EraStatus.Restored;
  }
}
