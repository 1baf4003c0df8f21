/** Why the connection of a client was refused further requests, or closed. */
export const ClientFault = {
  /** An answer was not read on for the idle time. */
  AnswerNotRead: 'answer-not-read',
  /** The framing of a chunked body takes far more bytes than the body. */
  BodyMostlyFraming: 'body-mostly-framing',
  /** `Content-Length` and `Transfer-Encoding` do not state one length of the body. */
  ConflictingLengths: 'conflicting-lengths',
  /** A whole head did not come within its time. */
  HeadLate: 'head-late',
  /** More bytes than a head may have did not contain a head. */
  HeadTooLong: 'head-too-long',
  /** Nothing was sent for the idle time. */
  Idle: 'idle',
  /** The bytes are not an HTTP request. */
  Malformed: 'malformed',
  /** There is no memory for what the client sends. */
  NoMemory: 'no-memory',
  /** A whole request did not come within its time. */
  RequestLate: 'request-late',
  /** There are as many connections as the process may have. */
  TooManyConnections: 'too-many-connections',
} as const;
export type ClientFault = (typeof ClientFault)[keyof typeof ClientFault];

/**
 * Status of the response to what was not passed on because of a fault; undefined if the connection closes without one. 408 and
 * 503 state that nothing has run.
 */
export function statusOfClientFault(fault: ClientFault): 400 | 408 | 431 | 503 | undefined {
  switch (fault) {
    case ClientFault.HeadTooLong:
      return 431;
    case ClientFault.HeadLate:
    case ClientFault.RequestLate:
      return 408;
    case ClientFault.NoMemory:
      return 503;
    case ClientFault.BodyMostlyFraming:
    case ClientFault.ConflictingLengths:
    case ClientFault.Malformed:
      return 400;
    case ClientFault.AnswerNotRead:
    case ClientFault.Idle:
    case ClientFault.TooManyConnections:
      return undefined;
  }
}
