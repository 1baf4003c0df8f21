import type { HomeAssignment, HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';

/**
 * Whether an assignment names this life of a server. The incarnation may have been raised since the
 * start of the process, and a later process starts with a higher one, so all higher ones are this life.
 */
export function namesThisLife(
  assignment: HomeAssignment | undefined,
  self: ServerIncarnation,
): assignment is HomeAssignment {
  return assignment?.server === self.server && assignment.incarnation >= self.incarnation;
}

/** The ranges that a table assigns to this life of a server. */
export function rangesHeld(table: HomeTable, self: ServerIncarnation): number[] {
  return [...table.ranges.keys()].filter((range) => namesThisLife(table.ranges[range], self));
}

/** Every server in a quorum, once. */
export function witnessesOf(table: HomeTable): string[] {
  return [...new Set(table.quorums.flat())];
}

/** The number that is more than half. */
export function majorityOf(quorum: readonly string[]): number {
  return Math.floor(quorum.length / 2) + 1;
}

/** Whether `newer` takes a range from a home of `older` that `isBound` says has a promise. */
export function takesRangeFrom(
  older: HomeTable,
  newer: HomeTable,
  isBound: (server: string) => boolean,
): boolean {
  return older.ranges.some((before, range) => {
    if (before === undefined || !isBound(before.server)) return false;
    const after = newer.ranges[range];
    return after?.server !== before.server || after.since !== before.since;
  });
}

/** Reads a table from the store's JSON text; undefined when it isn't one. */
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
