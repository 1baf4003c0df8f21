/**
 * A request waits only if at least this many times its expected service time remain between its expected start and its
 * target, or its deadline if it will miss the target. Service times vary, and a queue with requests that just meet their
 * targets on average makes half of them late.
 */
export const reserveFactor = 2.2;
/** What a gate knows of its server's slots when it decides on a request. */
export interface ServerRoom {
  /** Number of slots that the request may use. */
  readonly limit: number;
  /** Number of slots that nested calls may use. */
  readonly nestedLimit: number;
  /** Number of slots in use, those of aborted requests included. */
  readonly running: number;
  /** Mean expected work over all routes, in milliseconds. */
  readonly meanWork: number;
  /** Expected remaining time of each running request, in milliseconds. */
  readonly remainingWork: readonly number[];
  /** Mean interval at which waiting requests have started lately; undefined if too few have. */
  readonly startIntervalMilliseconds: number | undefined;
  /** Time until the server may receive the request at a position of the queue, counted from 1. */
  readonly waitForStart: (position: number) => number;
}

/** Remaining time assumed of a request that has run for as long as expected, as a share of its expected work. */
const overdueShare = 0.25;

/** Expected remaining time of a running request, in milliseconds. */
export function remainingWork(expectedMilliseconds: number, elapsedMilliseconds: number): number {
  return Math.max(expectedMilliseconds - elapsedMilliseconds, expectedMilliseconds * overdueShare);
}

/** Expected time until a request starts that has the given work of other waiting requests ahead of it. */
export function expectedWait(workAhead: readonly number[], room: ServerRoom): number {
  const position = workAhead.length + 1;
  return Math.max(waitForSlot(workAhead, room), room.waitForStart(position));
}

function waitForSlot(workAhead: readonly number[], room: ServerRoom): number {
  const { limit, meanWork, running, startIntervalMilliseconds } = room;
  const position = workAhead.length + 1;
  if (running + position <= limit) return 0;
  // Slots beyond the limit, which has fallen, are not used again when they become free.
  const excess = Math.max(0, running - limit);
  let work = meanWork * (1 + excess);
  for (const ahead of workAhead) work += ahead;
  return Math.max(work / limit, position * (startIntervalMilliseconds ?? 0));
}
