/** Measurement of an answered request, from which a {@link ConcurrencyLimit} learns. */
export interface ConcurrencySample {
  readonly latencyMilliseconds: number;
  /** Monotonic time at which the request was started. */
  readonly startedAt: number;
  /** Number of running requests when this one finished, itself included. */
  readonly inFlight: number;
  /** Number of running requests when this one started, itself included. */
  readonly inFlightAtStart: number;
}

/** Estimates how many requests the upstream can run concurrently. */
export interface ConcurrencyLimit {
  /** Maximum number of concurrent requests, between 1 and the announced slots. */
  readonly limit: number;
  /** Sets the announced slots; `isNewUpstream` discards what was learned. */
  setSlots(slots: number, isNewUpstream: boolean): void;
  /** Records an answered request; `now` is the monotonic time at which it finished. */
  onAnswered(sample: ConcurrencySample, now: number): void;
}
