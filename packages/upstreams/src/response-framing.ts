import type { IncomingMessage } from 'node:http';

/** Whether the end of the response body can be distinguished from a lost connection (RFC 9112, section 6.3). */
export function isSelfDelimiting(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode } = response;
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
