/** For the head and the body of a request; whoever asks here gives up after a second. */
const requestTimeoutMilliseconds = 5_000;
/** How often connections are checked for that. */
const checkMilliseconds = 1_000;

/** Options of a server on this machine's own ports: a request may come a byte at a time without end. */
export const requestBounds = {
  connectionsCheckingInterval: checkMilliseconds,
  headersTimeout: requestTimeoutMilliseconds,
  requestTimeout: requestTimeoutMilliseconds,
} as const;
