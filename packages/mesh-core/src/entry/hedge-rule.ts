import type { GateView } from '../placement/target-book.js';

/** An answer that takes this many times as long as usual is late whatever the cause. */
const lateFactor = 1.7;
/** At a server that is slow at this moment, an answer is late from here on. */
const lateWhenSlowFactor = 0.9;
/** A report of a slow moment that is older than this says nothing. */
const slowReportMilliseconds = 150;
const notableSlowdown = 2;
/** An answer that takes this many times as long as usual may never come. */
const hungFactor = 4;

/** Whether a second server should be asked because the first is late. */
export function isHedgeDue(
  { load, loadAt }: GateView,
  elapsed: number,
  targetIn: number,
  now: number,
): boolean {
  const usual = load.serviceMilliseconds;
  if (elapsed > usual * hungFactor) return true;
  // A second answer that comes after the target too is not worth the load.
  if (targetIn < usual) return false;
  const isSlow = load.slowdown >= notableSlowdown && now - loadAt < slowReportMilliseconds;
  return elapsed > usual * (isSlow ? lateWhenSlowFactor : lateFactor);
}
