import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { FleetServer } from '@peridotspring/stand-ins';

/** Long enough that no call of a test fails because the machine is busy. */
export const longDeadlineMilliseconds = 20_000;
/** A node that is silent for this long after the deadline has lost the request. */
const silenceMilliseconds = longDeadlineMilliseconds + 20_000;

/** A caller that would wait for ever; a fault, not an outcome. */
class UnansweredError extends Error {
  public override readonly name = 'UnansweredError';
}

/** One call of a test. */
export interface CallOptions {
  readonly method?: string;
  readonly key?: string;
  readonly body?: Uint8Array;
  readonly deadlineMilliseconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Closes the connection when it aborts, as a caller that goes away does. */
  readonly signal?: AbortSignal;
}

/** What a caller got. */
export interface CallResult {
  /** False when the connection broke before the end of the answer. */
  readonly isWhole: boolean;
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly attempt: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const agent = new Agent({ keepAlive: false, maxSockets: 512 });

/** Sends a request and resolves once the head of its answer is there. */
export function open(
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
    outgoing.setTimeout(silenceMilliseconds, () => {
      outgoing.destroy(new UnansweredError(`${method} ${path} at ${entry.plan.server}`));
    });
    outgoing.on('response', resolve);
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

/** Reads an answer to its end. */
export async function read(response: IncomingMessage): Promise<CallResult> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // A cut answer shows in `complete`.
  }
  const { headers } = response;
  return {
    attempt: String(headers['peridotspring-attempt'] ?? ''),
    body: Buffer.concat(chunks),
    headers,
    isWhole: response.complete,
    outcome: String(headers['peridotspring-outcome'] ?? ''),
    reason: String(headers['peridotspring-reason'] ?? ''),
    status: response.statusCode ?? 0,
  };
}

const brokenConnection: CallResult = {
  attempt: '',
  body: Buffer.alloc(0),
  headers: {},
  isWhole: false,
  outcome: 'broken-connection',
  reason: '',
  status: 0,
};

/** Sends a request and reads the answer; a broken connection is a result as well. */
export async function call(
  entry: FleetServer,
  path: string,
  options: CallOptions = {},
): Promise<CallResult> {
  try {
    return await read(await open(entry, path, options));
  } catch (error) {
    if (error instanceof UnansweredError) throw error;
    return brokenConnection;
  }
}

/** Outcome, reason and status in one line, for messages and comparisons. */
export function summaryOf({ isWhole, outcome, reason, status }: CallResult): string {
  return [isWhole ? 'whole' : 'cut', outcome, reason, status].join(' ').replace(/ {2,}/g, ' ');
}

/** The number of results with each summary. */
export function countSummaries(results: readonly CallResult[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    const summary = summaryOf(result);
    counts[summary] = (counts[summary] ?? 0) + 1;
  }
  return counts;
}

/** A UUIDv7 of this moment. */
export function newKey(): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Date.now(), 0, 6);
  bytes[6] = 0x70 | ((bytes[6] ?? 0) & 0x0f);
  bytes[8] = 0x80 | ((bytes[8] ?? 0) & 0x3f);
  return bytes.toString('hex').replace(/^(.{8})(.{4})(.{4})(.{4})/, '$1-$2-$3-$4-');
}
