/** What is known of a connection when a further one exceeds the limit. */
export interface LimitedConnection {
  /** Whether it may give way: no request is in progress, but the head of one may have begun. */
  readonly isIdle: boolean;
  readonly idleSince: number;
}

/** Chooses the connection to close when a further one exceeds the limit: the one that has been without a request longest. */
export function findConnectionToClose<Connection extends LimitedConnection>(
  connections: Iterable<Connection>,
): Connection | undefined {
  let longestIdle: Connection | undefined;
  for (const connection of connections) {
    if (!connection.isIdle) continue;
    if (longestIdle === undefined || connection.idleSince < longestIdle.idleSince)
      longestIdle = connection;
  }
  return longestIdle;
}
