/** Calls that a node can make in the millisecond of its start before identifiers of two lives meet. */
const identifiersPerMillisecond = 1_048_576;
/** Keeps identifiers exact as numbers: 2^32 milliseconds are 49 days. */
const startPeriodMilliseconds = 4_294_967_296;

/**
 * The identifier that a life of a node starts to count from. Identifiers must not repeat after a
 * restart: a gate or home that still runs a call of the former life would answer another caller.
 */
export function firstCallIdentifier(incarnation: number): number {
  return (incarnation % startPeriodMilliseconds) * identifiersPerMillisecond + 1;
}
