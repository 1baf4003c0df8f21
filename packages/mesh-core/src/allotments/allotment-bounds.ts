import type { Allotment } from '../tenants/tenant.js';

/** What a tenant may exceed its allotment by in a window, over all nodes. */
export interface AllotmentTolerance {
  readonly windowMilliseconds: number;
  /** Relative to the allotment. */
  readonly overage: number;
  /** Number of requests. */
  readonly slack: number;
}

/** Token bucket whose passed requests stay within the allotment in each window. */
export interface AllotmentBounds {
  readonly requestsPerMillisecond: number;
  readonly capacity: number;
}

/**
 * Share of the bound that is used. Nodes that are cut off while others join own slightly more than one share in total.
 */
const usableShare = 0.98;
/** Least share of the bound that may come at once; a bucket without capacity passes nothing. */
const minimumCapacityShare = 0.1;
const millisecondsPerSecond = 1_000;

/**
 * Returns the token bucket for all nodes together. What may come in a window is its capacity and what it refills in
 * that time. Undefined if the tenant has no limit.
 */
export function toAllotmentBounds(
  { burst, requestsPerSecond }: Allotment,
  { overage, slack, windowMilliseconds }: AllotmentTolerance,
): AllotmentBounds | undefined {
  if (!Number.isFinite(requestsPerSecond)) return undefined;
  const rateInWindow = (requestsPerSecond * windowMilliseconds) / millisecondsPerSecond;
  const allowed = usableShare * ((rateInWindow + burst) * (1 + overage) + slack);
  const capacity = Math.max(
    usableShare * (burst * (1 + overage) + slack),
    minimumCapacityShare * allowed,
  );
  return { capacity, requestsPerMillisecond: (allowed - capacity) / windowMilliseconds };
}
