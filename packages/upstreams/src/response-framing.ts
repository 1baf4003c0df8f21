import type { IncomingMessage } from 'node:http';

/** How the end of a response body is marked (RFC 9112, section 6.3). */
export const BodyEnd = {
  /** By the length, by the last chunk, or by the head of a response without a body. */
  Framing: 'framing',
  /** By the end of the connection, which a lost connection resembles. */
  ConnectionEnd: 'connection-end',
  /** The body has a transfer coding that is not decoded here. */
  Unsupported: 'unsupported',
} as const;
export type BodyEnd = (typeof BodyEnd)[keyof typeof BodyEnd];

/**
 * Tells how the end of the response's body is marked. With a Transfer-Encoding field, only `chunked` marks an end;
 * any other value, such as the obsolete `identity`, leaves that to the connection.
 */
export function findBodyEnd({ headers, statusCode }: IncomingMessage, method: string): BodyEnd {
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) return BodyEnd.Framing;
  const field = headers['transfer-encoding'];
  if (field === undefined)
    return headers['content-length'] === undefined ? BodyEnd.ConnectionEnd : BodyEnd.Framing;
  const codings = field.split(',').map((coding) => coding.trim().toLowerCase());
  const isChunked = codings.at(-1) === 'chunked';
  const others = isChunked ? codings.slice(0, -1) : codings;
  if (others.some((coding) => coding !== 'identity')) return BodyEnd.Unsupported;
  return isChunked ? BodyEnd.Framing : BodyEnd.ConnectionEnd;
}
