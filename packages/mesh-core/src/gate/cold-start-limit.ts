import type { ServiceColdStart } from '../routes/route-configuration.js';

/** How far beyond the rate that a service declares its cold servers may be used. */
export interface ColdStartTolerance {
  /** Multiple of the declared rate. */
  readonly ratio: number;
  /** Requests per second in addition to that. */
  readonly slack: number;
}

/** How many requests a cold server may receive. */
export interface ColdStartLimit {
  /** Maximum number of requests in any second. */
  readonly maximumRequests: number;
  /** Time for which a server is cold after its start. */
  readonly durationMilliseconds: number;
}

export function toColdStartLimit(
  { durationMilliseconds, requestsPerSecond }: ServiceColdStart,
  { ratio, slack }: ColdStartTolerance,
): ColdStartLimit {
  // A server that may receive nothing at all would never serve again.
  const maximumRequests = Math.max(1, Math.floor(requestsPerSecond * ratio + slack));
  return { durationMilliseconds, maximumRequests };
}
