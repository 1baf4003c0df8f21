import { HeaderName, RefusalReason } from '@peridotspring/core';
import type { RefusedOutcome } from '@peridotspring/core';

/** Error codes of the HTTP parser for requests with conflicting body lengths. */
const lengthErrorCodes: ReadonlySet<string> = new Set([
  'HPE_INVALID_CONTENT_LENGTH',
  'HPE_INVALID_TRANSFER_ENCODING',
  'HPE_UNEXPECTED_CONTENT_LENGTH',
]);

/** The outcome of a request that Node.js could not parse, and the raw response to it. */
export interface ParseErrorResponse {
  readonly outcome: RefusedOutcome;
  readonly detail: string;
  readonly response: string;
}

/** The raw response to bytes that are not an HTTP request. */
export const badRequestResponse =
  'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/** Describes why a request could not be parsed; undefined when the bytes are not HTTP. */
export function createParseErrorResponse(
  errorCode: string | undefined,
  headerBytes: number,
): ParseErrorResponse | undefined {
  if (errorCode === 'HPE_HEADER_OVERFLOW') {
    const detail = `the request head must be at most ${headerBytes} bytes`;
    return createResponse(
      RefusalReason.HeadersTooLarge,
      detail,
      '431 Request Header Fields Too Large',
    );
  }
  if (errorCode !== undefined && lengthErrorCodes.has(errorCode)) {
    const detail = 'Content-Length and Transfer-Encoding must describe one length';
    return createResponse(RefusalReason.ConflictingLengths, detail, '400 Bad Request');
  }
  return undefined;
}

function createResponse(reason: RefusalReason, detail: string, status: string): ParseErrorResponse {
  const outcome = { kind: 'refused-not-run', reason } as const;
  const body = `${JSON.stringify({ detail, outcome: outcome.kind, reason })}\n`;
  const head = [
    `HTTP/1.1 ${status}`,
    'connection: close',
    'content-type: application/json',
    `${HeaderName.Outcome}: ${outcome.kind}`,
    `${HeaderName.Reason}: ${reason}`,
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return { detail, outcome, response: `${head.join('\r\n')}\r\n\r\n${body}` };
}
