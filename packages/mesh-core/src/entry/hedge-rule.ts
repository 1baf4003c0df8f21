import type { GateView } from '../placement/gate-table.js';

/** An answer is late, whatever the cause, after this multiple of the server's mean service time. */
const lateFactor = 1.7;
/** An answer from a server that reports a slowdown is late after this multiple of its mean service time. */
const slowdownLateFactor = 0.9;
/** A reported slowdown is ignored once the report is older than this. */
const slowdownReportMilliseconds = 150;
/** Smaller reported slowdowns do not lower the hedging threshold. */
const notableSlowdownFactor = 2;
/** After this multiple of the mean service time the answer may never arrive, so the request is hedged in any case. */
const hungRequestFactor = 4;

/** Whether the request should be hedged, that is, also sent to a second server because the first is late. */
export function isHedgeDue(
  { load, loadReceivedAt }: GateView,
  elapsedMilliseconds: number,
  millisecondsToTarget: number,
  now: number,
): boolean {
  const meanMilliseconds = load.serviceMilliseconds;
  if (elapsedMilliseconds > meanMilliseconds * hungRequestFactor) return true;
  // A second answer would miss the target latency as well, so it is not worth the additional load.
  if (millisecondsToTarget < meanMilliseconds) return false;
  const isSlow =
    load.slowdown >= notableSlowdownFactor && now - loadReceivedAt < slowdownReportMilliseconds;
  return elapsedMilliseconds > meanMilliseconds * (isSlow ? slowdownLateFactor : lateFactor);
}
