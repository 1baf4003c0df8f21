/** Why the connection of a client was refused further requests, or closed. */
export const ClientFault = {
  /** An answer was not read on for the idle time. */
  AnswerNotRead: 'answer-not-read',
  /** The framing of a chunked body takes far more bytes than the body. */
  BodyMostlyFraming: 'body-mostly-framing',
  /** `Host` is repeated, is named by `Connection`, or differs from the request target. */
  ConflictingHosts: 'conflicting-hosts',
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
  /** A field that states one value is repeated. */
  RepeatedField: 'repeated-field',
  /** A whole request did not come within its time. */
  RequestLate: 'request-late',
  /** There are as many connections as the process may have. */
  TooManyConnections: 'too-many-connections',
  /** Fields follow a chunked body; they are not passed on. */
  Trailers: 'trailers',
  /** The body has a transfer coding other than `chunked`. */
  TransferCoding: 'transfer-coding',
} as const;
export type ClientFault = (typeof ClientFault)[keyof typeof ClientFault];

/**
 * Status of the response to what was not passed on because of a fault; undefined if the connection closes without one. 408 and
 * 503 state that nothing has run.
 */
export function statusOfClientFault(fault: ClientFault): 400 | 408 | 431 | 501 | 503 | undefined {
  switch (fault) {
    case ClientFault.HeadTooLong:
      return 431;
    case ClientFault.HeadLate:
    case ClientFault.RequestLate:
      return 408;
    case ClientFault.NoMemory:
      return 503;
    case ClientFault.TransferCoding:
      return 501;
    case ClientFault.BodyMostlyFraming:
    case ClientFault.ConflictingHosts:
    case ClientFault.ConflictingLengths:
    case ClientFault.Malformed:
    case ClientFault.RepeatedField:
    case ClientFault.Trailers:
      return 400;
    case ClientFault.AnswerNotRead:
    case ClientFault.Idle:
    case ClientFault.TooManyConnections:
      return undefined;
  }
}
