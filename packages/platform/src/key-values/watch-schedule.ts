import type { WatchTurn } from '@peridotspring/mesh-core';

/** Time between the starts of watches by different nodes, as a share of the time within which a change must be in force. */
const turnShare = 0.6;
/** The store holds a watch for at most this time. */
const maximumHoldMilliseconds = 30_000;

/**
 * For how long the store should hold the next watch of a node. A connection that has gone silent shows only when the
 * response to its watch is overdue. Nodes that watch take turns by the time of day, so that one of them asks the store
 * anew soon after any moment, while each of them asks rarely. A clock that is wrong makes the turns uneven, nothing else.
 */
export function watchHoldMilliseconds(
  { count, index }: WatchTurn,
  propagationMilliseconds: number,
  timeOfDay: number,
): number {
  const cycleMilliseconds = Math.min(
    maximumHoldMilliseconds,
    count * turnShare * propagationMilliseconds,
  );
  const turnMilliseconds = cycleMilliseconds / count;
  const untilTurn = (index * turnMilliseconds - timeOfDay) % cycleMilliseconds;
  const untilNextTurn = untilTurn < 0 ? untilTurn + cycleMilliseconds : untilTurn;
  // A watch that has just ended a little early must not be followed by a very short one.
  const isTooShort = untilNextTurn < turnMilliseconds / 2 && count > 1;
  return Math.round(
    Math.min(maximumHoldMilliseconds, untilNextTurn + (isTooShort ? cycleMilliseconds : 0)),
  );
}
