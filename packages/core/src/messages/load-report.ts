export const GateState = {
  Down: 'down',
  Draining: 'draining',
  Serving: 'serving',
  Warming: 'warming',
} as const;
export type GateState = (typeof GateState)[keyof typeof GateState];

/** A gate's report on the load of its upstream, sent with every response and refusal. */
export interface LoadReport {
  readonly service: string;
  /** Number of requests running at the upstream. */
  readonly inFlight: number;
  /** Number of requests waiting at the gate. */
  readonly queued: number;
  /**
   * Current concurrency limit of the gate: the minimum of the learned, ramp-up and announced
   * limits.
   */
  readonly limit: number;
  /** Smoothed duration of a request at the upstream. */
  readonly latencyMilliseconds: number;
  readonly state: GateState;
}
