/** Limit for receiving a head, and for receiving the body after it; clients time out after 1 s. */
const requestTimeoutMilliseconds = 5_000;

/**
 * Limits on the ports that the platform and the server beside the node use. Both have a few connections at a time; the others
 * are kept for callers and other nodes.
 */
export const localPortLimits = {
  limits: {
    headerBytes: 16_384,
    headerTimeoutMilliseconds: requestTimeoutMilliseconds,
    idleTimeoutMilliseconds: 5_000,
  },
  maximumConnections: 32,
  requestTimeoutMilliseconds,
} as const;
