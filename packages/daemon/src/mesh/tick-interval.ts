/** Interval between ticks while requests are queued at the gate. */
const queuedTickIntervalMilliseconds = 10;
/** Interval between ticks while requests are in progress; hedged requests and load reports are sent on ticks. */
const busyTickIntervalMilliseconds = 20;
export const idleTickIntervalMilliseconds = 50;

/**
 * Each tick wakes the process, so the interval is only as short as the pending work requires: requests in progress, those of
 * them that wait at the gate, and the time until the earliest deadline, which may be infinite.
 */
export function millisecondsUntilNextTick(
  inProgress: number,
  waiting: number,
  untilDeadline: number,
): number {
  if (waiting > 0) return queuedTickIntervalMilliseconds;
  if (inProgress === 0) return idleTickIntervalMilliseconds;
  return Math.min(busyTickIntervalMilliseconds, Math.max(1, Math.ceil(untilDeadline)));
}
