import { HeaderName, RefusalReason } from '@peridotspring/core';
import type { RefusedOutcome } from '@peridotspring/core';
import { ClientFault } from '@peridotspring/mesh-core';

/** The outcome of a request that Node.js could not parse, and the raw response to it. */
export interface ParseErrorResponse {
  readonly outcome: RefusedOutcome;
  readonly detail: string;
  readonly response: string;
}

/** Describes why a request could not be parsed; undefined when the response does not tell an outcome. */
export function createParseErrorResponse(
  fault: ClientFault,
  headerBytes: number,
): ParseErrorResponse | undefined {
  if (fault === ClientFault.HeadTooLong) {
    const detail = `the request head must be at most ${headerBytes} bytes`;
    return createResponse(
      RefusalReason.HeadersTooLarge,
      detail,
      '431 Request Header Fields Too Large',
    );
  }
  if (fault === ClientFault.ConflictingLengths) {
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
