import type { HeaderFields } from './frames.js';

/** Names of the HTTP header fields that peridotspring interprets, in lower case as in Node.js. */
export const HeaderName = {
  Attempt: 'peridotspring-attempt',
  Deadline: 'peridotspring-deadline-ms',
  Depth: 'peridotspring-depth',
  IdempotencyKey: 'idempotency-key',
  Outcome: 'peridotspring-outcome',
  Reason: 'peridotspring-reason',
  RequestId: 'peridotspring-request-id',
  RetryAfter: 'retry-after',
  Tenant: 'peridotspring-tenant',
} as const;
export type HeaderName = (typeof HeaderName)[keyof typeof HeaderName];

const systemFieldPrefix = 'peridotspring-';
const connectionField = 'connection';

/**
 * Names of fields that apply to a single connection and are not forwarded. `expect` is included because
 * it would make the next client wait for an interim response.
 */
export const hopByHopFieldNames: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export type ReceivedFields = Readonly<Record<string, string | readonly string[] | undefined>>;

const noOptions: ReadonlySet<string> = new Set();

/** Parses the value of a `Connection` field: the names of further hop-by-hop fields, in lower case. */
export function parseConnectionOptions(value: string): ReadonlySet<string> {
  // Fast path: nearly every message has one of these two values, and neither names a further
  // hop-by-hop field.
  if (value === 'keep-alive' || value === 'close') return noOptions;
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}

function findConnectionOptions(
  fields: ReceivedFields,
  names: readonly string[],
): ReadonlySet<string> {
  let options = noOptions;
  for (const name of names) {
    if (name.length !== connectionField.length || name.toLowerCase() !== connectionField) continue;
    const parsed = parseConnectionOptions(String(fields[name]));
    options = options.size === 0 ? parsed : new Set([...options, ...parsed]);
  }
  return options;
}

/**
 * Takes single values out of the lists in which Node.js has all values of a field. Its other form drops all but the first value of
 * some fields.
 */
export function distinctFields(
  fields: Readonly<Record<string, readonly string[] | undefined>>,
): ReceivedFields {
  const distinct: Record<string, string | readonly string[] | undefined> = {};
  for (const name of Object.keys(fields)) {
    const values = fields[name];
    distinct[name] = values?.length === 1 ? values[0] : values;
  }
  return distinct;
}

/**
 * Copies the fields to forward, with lower-case names. Omits hop-by-hop fields, and the system's own
 * fields so that neither side can forge them.
 */
export function endToEndFields(fields: ReceivedFields): HeaderFields {
  const names = Object.keys(fields);
  const connectionOptions = findConnectionOptions(fields, names);
  const forwarded: Record<string, string | readonly string[]> = {};
  for (const name of names) {
    const value = fields[name];
    if (value === undefined) continue;
    const lowerName = name.toLowerCase();
    if (hopByHopFieldNames.has(lowerName) || connectionOptions.has(lowerName)) continue;
    if (lowerName.startsWith(systemFieldPrefix)) continue;
    forwarded[lowerName] = value;
  }
  return forwarded;
}
