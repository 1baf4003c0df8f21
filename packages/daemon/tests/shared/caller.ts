import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { FleetServer } from '@peridotspring/stand-ins';

/** Long enough that no call in a test exceeds its deadline only because the machine is busy. */
export const longDeadlineMilliseconds = 20_000;
/** A node that sends no response within 20 s after the default deadline has lost the request. */
const responseTimeoutMilliseconds = longDeadlineMilliseconds + 20_000;

/**
 * Thrown if a node never responds to a request. This is a defect of the node, not an outcome of
 * the request.
 */
class NoResponseError extends Error {
  public override readonly name = 'UnansweredError';
}

/** Options of one request of a test. */
export interface CallOptions {
  readonly method?: string;
  readonly key?: string;
  readonly body?: Uint8Array;
  readonly deadlineMilliseconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Closes the connection when aborted, as a caller that disconnects does. */
  readonly signal?: AbortSignal;
}

/** The response and outcome that a caller received. */
export interface CallResult {
  /** False if the connection was closed before the end of the response. */
  readonly isComplete: boolean;
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly attempt: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const agent = new Agent({ keepAlive: false, maxSockets: 512 });

/** Sends a request and resolves once the head of the response has arrived. */
export function openResponse(
  entry: FleetServer,
  path: string,
  options: CallOptions = {},
): Promise<IncomingMessage> {
  const { body, deadlineMilliseconds = longDeadlineMilliseconds, key, method = 'GET' } = options;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      headers: {
        'peridotspring-deadline-ms': deadlineMilliseconds,
        ...(key === undefined ? {} : { 'idempotency-key': key }),
        ...(body === undefined ? {} : { 'content-length': body.length }),
        ...options.headers,
      },
      host: '127.0.0.1',
      method,
      path,
      port: entry.callerPort,
      signal: options.signal,
    });
    outgoing.setTimeout(responseTimeoutMilliseconds, () => {
      outgoing.destroy(new NoResponseError(`${method} ${path} at ${entry.plan.server}`));
    });
    outgoing.on('response', resolve);
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

/** Reads a response to its end. */
export async function readResult(response: IncomingMessage): Promise<CallResult> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // `response.complete` is false for a truncated response.
  }
  const { headers } = response;
  return {
    attempt: String(headers['peridotspring-attempt'] ?? ''),
    body: Buffer.concat(chunks),
    headers,
    isComplete: response.complete,
    outcome: String(headers['peridotspring-outcome'] ?? ''),
    reason: String(headers['peridotspring-reason'] ?? ''),
    status: response.statusCode ?? 0,
  };
}

const brokenConnectionResult: CallResult = {
  attempt: '',
  body: Buffer.alloc(0),
  headers: {},
  isComplete: false,
  outcome: 'broken-connection',
  reason: '',
  status: 0,
};

/** Sends a request and reads the response; a broken connection is returned as a result, too. */
export async function call(
  entry: FleetServer,
  path: string,
  options: CallOptions = {},
): Promise<CallResult> {
  try {
    return await readResult(await openResponse(entry, path, options));
  } catch (error) {
    if (error instanceof NoResponseError) throw error;
    return brokenConnectionResult;
  }
}

/** Formats completeness, outcome, reason and status as one line, for messages and comparisons. */
export function summaryOf({ isComplete, outcome, reason, status }: CallResult): string {
  return [isComplete ? 'complete' : 'truncated', outcome, reason, status]
    .join(' ')
    .replace(/ {2,}/g, ' ');
}

/** Counts the results by summary. */
export function countSummaries(results: readonly CallResult[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    const summary = summaryOf(result);
    counts[summary] = (counts[summary] ?? 0) + 1;
  }
  return counts;
}

/** Creates an idempotency key: a UUIDv7 with the current time. */
export function newKey(): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Date.now(), 0, 6);
  bytes[6] = 0x70 | ((bytes[6] ?? 0) & 0x0f);
  bytes[8] = 0x80 | ((bytes[8] ?? 0) & 0x3f);
  return bytes.toString('hex').replace(/^(.{8})(.{4})(.{4})(.{4})/, '$1-$2-$3-$4-');
}
