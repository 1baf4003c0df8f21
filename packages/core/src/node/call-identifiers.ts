/**
 * Identifiers reserved for each millisecond of start time. Two incarnations can only use the same
 * identifier if the earlier one makes more calls than this per millisecond of its run time.
 */
const identifiersPerMillisecond = 1_048_576;
/**
 * Period after which start times repeat: 2^32 ms (49 days). It keeps identifiers below 2^53, so
 * they are exact as numbers.
 */
const incarnationPeriodMilliseconds = 4_294_967_296;

/**
 * Returns the first call identifier of an incarnation. Identifiers must not repeat after a restart:
 * a gate or home that still runs a call of the previous incarnation would answer the wrong caller.
 */
export function firstCallIdentifier(incarnation: number): number {
  return (incarnation % incarnationPeriodMilliseconds) * identifiersPerMillisecond + 1;
}
