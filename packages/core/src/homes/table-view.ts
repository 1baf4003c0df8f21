import type { HomeAssignment, HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';

/**
 * Whether an assignment names the current process of a server. `self` has the incarnation at the start
 * of the process, which may have been raised since. An earlier process had a lower one, and this one
 * does not exist any more once a later one starts, so all higher incarnations belong to this process.
 */
export function namesThisIncarnation(
  assignment: HomeAssignment | undefined,
  self: ServerIncarnation,
): assignment is HomeAssignment {
  return assignment?.server === self.server && assignment.incarnation >= self.incarnation;
}

/** The ranges that a table assigns to the current process of a server. */
export function rangesAssignedTo(table: HomeTable, self: ServerIncarnation): number[] {
  return [...table.ranges.keys()].filter((range) =>
    namesThisIncarnation(table.ranges[range], self),
  );
}

/** All servers in the quorums of a table, without duplicates. */
export function witnessesOf(table: HomeTable): string[] {
  return [...new Set(table.quorums.flat())];
}

/** The number of witnesses that form a majority of a quorum. */
export function majorityOf(quorum: readonly string[]): number {
  return Math.floor(quorum.length / 2) + 1;
}

/** Whether `newer` takes a range away from a home of `older` for which `hasPromise` is true. */
export function takesRangeFrom(
  older: HomeTable,
  newer: HomeTable,
  hasPromise: (server: string) => boolean,
): boolean {
  return older.ranges.some((before, range) => {
    if (before === undefined || !hasPromise(before.server)) return false;
    const after = newer.ranges[range];
    return after?.server !== before.server || after.since !== before.since;
  });
}

/**
 * Parses a table from the store's JSON text; returns undefined if the text is not valid JSON with
 * ranges.
 */
export function parseTable(text: string): HomeTable | undefined {
  try {
    const value = JSON.parse(text) as { ranges: (HomeAssignment | null)[] } & Omit<
      HomeTable,
      'ranges'
    >;
    return { ...value, ranges: value.ranges.map((assignment) => assignment ?? undefined) };
  } catch {
    return undefined;
  }
}
