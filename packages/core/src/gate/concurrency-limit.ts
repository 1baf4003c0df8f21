/** A finished request, as evidence of how many requests the upstream can run at once. */
export interface ConcurrencySample {
  readonly latencyMilliseconds: number;
  /** Monotonic time at which the request was started. */
  readonly startedAt: number;
  /** Requests that ran when this one finished, itself included. */
  readonly inFlight: number;
  /** Requests that ran when this one had started, itself included. */
  readonly inFlightAtStart: number;
}

/** Learns how many requests the upstream can run at once. */
export interface ConcurrencyLimit {
  /** Between 1 and the announced slots. */
  readonly limit: number;
  /** Sets the announced slots and forgets what was learned when `isNewUpstream`. */
  announce(slots: number, isNewUpstream: boolean): void;
  /** Records an answered request that finished at the monotonic time `now`. */
  answered(sample: ConcurrencySample, now: number): void;
}
