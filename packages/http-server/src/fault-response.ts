import { STATUS_CODES } from 'node:http';

import { ClientFault, statusOfClientFault } from '@peridotspring/mesh-core';

import type { ClientStream } from './client-stream.js';

/** Error code of the HTTP parser when the client closed its side in the middle of a request. */
const unexpectedEndCode = 'HPE_INVALID_EOF_STATE';
const headOverflowCode = 'HPE_HEADER_OVERFLOW';
const lengthErrorCodes: ReadonlySet<string | undefined> = new Set([
  'HPE_INVALID_CONTENT_LENGTH',
  'HPE_INVALID_TRANSFER_ENCODING',
  'HPE_UNEXPECTED_CONTENT_LENGTH',
]);
/** Memory may be available again after this time: what makes no progress for a second gives it up. */
const retryAfterFields = { 'retry-after': '1' } as const;

/** The header fields of a response to a request that was not read as a whole. */
export function faultFields(fault: ClientFault): Readonly<Record<string, string>> {
  return fault === ClientFault.NoMemory ? retryAfterFields : {};
}

/** Whether an error of the parser or of the connection means that the client has gone. */
export function isDisconnect(stream: ClientStream, { code }: NodeJS.ErrnoException): boolean {
  return !stream.writable || code === unexpectedEndCode;
}

export function faultOfParserError({ code }: NodeJS.ErrnoException): ClientFault {
  if (code === headOverflowCode) return ClientFault.HeadTooLong;
  return lengthErrorCodes.has(code) ? ClientFault.ConflictingLengths : ClientFault.Malformed;
}

/**
 * Writes the response to a request that was not read as a whole, and closes the connection. Nothing of the request has run. A
 * client that has not begun a request gets no response.
 */
export function writeFaultResponse(
  stream: ClientStream,
  fault: ClientFault,
  hasRequestBegun: boolean,
): void {
  // The last response has already ended the connection, and the lingering close is in progress.
  if (!stream.writable) return;
  const status = statusOfClientFault(fault);
  if (status !== undefined && hasRequestBegun) {
    const fields = { ...faultFields(fault), connection: 'close', 'content-length': '0' };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    stream.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? fault}\r\n${lines.join('')}\r\n`);
  }
  stream.destroySoon();
}
