import { HeaderName, RefusalReason } from '@peridotspring/core';
import type { RefusedOutcome } from '@peridotspring/core';

/** Parser faults that callers cause with contradicting lengths. */
const lengthFaults: ReadonlySet<string> = new Set([
  'HPE_INVALID_CONTENT_LENGTH',
  'HPE_INVALID_TRANSFER_ENCODING',
  'HPE_UNEXPECTED_CONTENT_LENGTH',
]);

/** A request that Node.js could not parse, with the bytes that answer it. */
export interface ConnectionFault {
  readonly outcome: RefusedOutcome;
  readonly detail: string;
  readonly response: string;
}

/** The answer to bytes that are no HTTP request at all. */
export const badRequestResponse =
  'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/** Names the fault of a request that could not be parsed; undefined when the bytes are no HTTP. */
export function describeConnectionFault(
  errorCode: string | undefined,
  headerBytes: number,
): ConnectionFault | undefined {
  if (errorCode === 'HPE_HEADER_OVERFLOW') {
    const detail = `the request head must be at most ${headerBytes} bytes`;
    return fault(RefusalReason.HeadersTooLarge, detail, '431 Request Header Fields Too Large');
  }
  if (errorCode !== undefined && lengthFaults.has(errorCode)) {
    const detail = 'Content-Length and Transfer-Encoding must describe one length';
    return fault(RefusalReason.ConflictingLengths, detail, '400 Bad Request');
  }
  return undefined;
}

function fault(reason: RefusalReason, detail: string, status: string): ConnectionFault {
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
