/** Limit for receiving the headers and for receiving the whole request; clients time out after 1 s. */
const requestTimeoutMilliseconds = 5_000;
/** Interval at which Node.js checks connections for expired timeouts. */
const checkMilliseconds = 1_000;

/** Options of the HTTP servers on local ports. They close requests that arrive one byte at a time, without end. */
export const requestTimeouts = {
  connectionsCheckingInterval: checkMilliseconds,
  headersTimeout: requestTimeoutMilliseconds,
  requestTimeout: requestTimeoutMilliseconds,
} as const;
