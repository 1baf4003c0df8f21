export const GateState = {
  Down: 'down',
  Draining: 'draining',
  Serving: 'serving',
  Warming: 'warming',
} as const;
export type GateState = (typeof GateState)[keyof typeof GateState];

/** What a gate says about the load of its upstream, on every answer and refusal. */
export interface LoadReport {
  readonly service: string;
  /** Requests that the upstream is running. */
  readonly inFlight: number;
  /** Requests that wait at the gate. */
  readonly queued: number;
  /** How many the gate runs at once now: learned, ramped or announced, the lowest. */
  readonly limit: number;
  /** Smoothed time from start to end of a request at the upstream. */
  readonly latencyMilliseconds: number;
  readonly state: GateState;
}
