import { homeRangeCount } from '../messages/home-table.js';
import type { HomeAssignment, HomeTable } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';

/** The new home of a range in a hand-over. */
export interface RangeTarget {
  readonly home: ServerIncarnation;
  /**
   * Undefined if the range was never activated, and so has no records: its new home takes it over.
   */
  readonly transfer: string | undefined;
}

/** Returns the first table of a service, with one home for all ranges. */
export function firstTable(
  service: string,
  home: ServerIncarnation,
  witnesses: readonly string[],
): HomeTable {
  const assignment = assign(home, 1);
  return {
    quorums: [witnesses],
    ranges: Array.from({ length: homeRangeCount }, () => assignment),
    service,
    version: 1,
  };
}

/**
 * Returns a table with a new home for every range without a usable one; undefined if there is none
 * to change.
 */
export function takeoverTable(
  current: HomeTable,
  eligible: readonly ServerIncarnation[],
  isUsable: (assignment: HomeAssignment) => boolean,
  chooseWitnesses: () => readonly string[],
): HomeTable | undefined {
  const usable = current.ranges.map((assignment) =>
    assignment !== undefined && isUsable(assignment) ? assignment : undefined,
  );
  if (!usable.includes(undefined) || eligible.length === 0) return undefined;
  const version = current.version + 1;
  const ranges = [...usable];
  for (const [range, assignment] of usable.entries()) {
    if (assignment !== undefined) continue;
    const home = leastLoaded(ranges, eligible);
    if (home !== undefined) ranges[range] = assign(home, version);
  }
  const quorums = current.quorums.length > 0 ? current.quorums : [chooseWitnesses()];
  return { ...current, quorums, ranges, version };
}

/** Returns a table that assigns ranges to their new homes. */
export function handOverTable(
  current: HomeTable,
  targets: ReadonlyMap<number, RangeTarget>,
): HomeTable {
  const version = current.version + 1;
  const ranges = current.ranges.map((assignment, range) => {
    const target = targets.get(range);
    return target === undefined ? assignment : assign(target.home, version, target.transfer);
  });
  return { ...current, ranges, version };
}

/**
 * Returns a table without homes. It needs no quorum: its writer was the only home, had activated every
 * range and accepts no keys any more, so no lease under an earlier table remains.
 */
export function emptyTable(current: HomeTable): HomeTable {
  return {
    ...current,
    quorums: [],
    ranges: current.ranges.map(() => undefined),
    version: current.version + 1,
  };
}

/**
 * Returns a table that adds a new set of witnesses. Leases need a majority of both sets until the
 * old one is removed.
 */
export function witnessChangeTable(
  current: HomeTable,
  witnesses: readonly string[],
): HomeTable | undefined {
  const [old] = current.quorums;
  if (old === undefined || current.quorums.length > 1 || witnesses.length === 0) return undefined;
  if (old.length === witnesses.length && witnesses.every((server) => old.includes(server))) {
    return undefined;
  }
  return { ...current, quorums: [old, witnesses], version: current.version + 1 };
}

/**
 * Returns a table with the new witnesses only. A majority of the old ones must have accepted
 * `current`.
 */
export function witnessChangeEndTable(current: HomeTable): HomeTable {
  return { ...current, quorums: current.quorums.slice(-1), version: current.version + 1 };
}

/** Returns the server with the fewest ranges; the first one given if several have as few. */
export function leastLoaded<Server extends ServerIncarnation>(
  ranges: readonly (HomeAssignment | undefined)[],
  servers: readonly Server[],
): Server | undefined {
  let best: { readonly count: number; readonly server: Server } | undefined;
  for (const server of servers) {
    const count = rangeCount(ranges, server.server);
    if (best === undefined || count < best.count) best = { count, server };
  }
  return best?.server;
}

/** Returns the number of ranges assigned to a server. */
export function rangeCount(
  ranges: readonly (HomeAssignment | undefined)[],
  server: string,
): number {
  return ranges.filter((assignment) => assignment?.server === server).length;
}

function assign(home: ServerIncarnation, since: number, transfer?: string): HomeAssignment {
  const { incarnation, server } = home;
  return { incarnation, server, since, ...(transfer === undefined ? {} : { transfer }) };
}
