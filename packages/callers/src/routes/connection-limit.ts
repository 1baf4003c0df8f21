import type { CallerConnection } from './caller-connection.js';

/** Chooses the connection to close when a further one exceeds the limit: the one that has been without a request longest. */
export function findConnectionToClose(
  connections: Iterable<CallerConnection>,
): CallerConnection | undefined {
  let longestIdle: CallerConnection | undefined;
  for (const connection of connections) {
    if (!connection.isIdle) continue;
    if (longestIdle === undefined || connection.idleSince < longestIdle.idleSince)
      longestIdle = connection;
  }
  return longestIdle;
}
