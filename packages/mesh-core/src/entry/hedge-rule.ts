import type { GateView } from '../placement/gate-table.js';

/** An answer is late, whatever the cause, after this multiple of the server's expected service time. */
const lateFactor = 1.7;
/** An answer from a server that reports a slowdown is late after this multiple of its expected service time. */
const slowdownLateFactor = 0.9;
/** A reported slowdown is ignored once the report is older than this. */
const slowdownReportMilliseconds = 150;
/** Smaller reported slowdowns do not lower the hedging threshold. */
const notableSlowdownFactor = 2;
/** After this multiple of the expected service time the answer may never arrive, so the request is hedged in any case. */
const hungRequestFactor = 4;

/**
 * Whether the request should be hedged, that is, also sent to a second server because the first is late.
 * `expectedMilliseconds` is the service time of a request of this route at the gate.
 */
export function isHedgeDue(
  { load, loadReceivedAt }: GateView,
  expectedMilliseconds: number,
  elapsedMilliseconds: number,
  millisecondsToTarget: number,
  now: number,
): boolean {
  if (elapsedMilliseconds > expectedMilliseconds * hungRequestFactor) return true;
  // A second answer would miss the target latency as well, so it is not worth the additional load.
  if (millisecondsToTarget < expectedMilliseconds) return false;
  const isSlow =
    load.slowdown >= notableSlowdownFactor && now - loadReceivedAt < slowdownReportMilliseconds;
  return elapsedMilliseconds > expectedMilliseconds * (isSlow ? slowdownLateFactor : lateFactor);
}
