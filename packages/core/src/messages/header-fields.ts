import type { HeaderFields } from './frames.js';

/** Headers with a meaning for peridotspring, in lower case as Node.js has them. */
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

const internalPrefix = 'peridotspring-';
const connectionName = 'connection';

/** Fields that concern one connection only. `Expect` would make a client wait for an interim answer. */
export const hopByHopNames: ReadonlySet<string> = new Set([
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

type ReadFields = Readonly<Record<string, string | readonly string[] | undefined>>;

const noNames: ReadonlySet<string> = new Set();

/** Names that a `Connection` field declares to be hop-by-hop. */
export function namesListed(value: string): ReadonlySet<string> {
  // Nearly every message has one of these two, and both would be left out anyway.
  if (value === 'keep-alive' || value === 'close') return noNames;
  return new Set(value.split(',').map((listed) => listed.trim().toLowerCase()));
}

function namedByConnection(fields: ReadFields, names: readonly string[]): ReadonlySet<string> {
  let named = noNames;
  for (const name of names) {
    if (name.length !== connectionName.length || name.toLowerCase() !== connectionName) continue;
    const listed = namesListed(String(fields[name]));
    named = named.size === 0 ? listed : new Set([...named, ...listed]);
  }
  return named;
}

/**
 * Copies the fields that go on from one connection to the next under lower-case names: none of the
 * connection's own, and none of the system's, so that neither side can forge them.
 */
export function endToEndFields(fields: ReadFields): HeaderFields {
  const names = Object.keys(fields);
  const named = namedByConnection(fields, names);
  const kept: Record<string, string | readonly string[]> = {};
  for (const name of names) {
    const value = fields[name];
    if (value === undefined) continue;
    const lowerName = name.toLowerCase();
    if (hopByHopNames.has(lowerName) || named.has(lowerName)) continue;
    if (lowerName.startsWith(internalPrefix)) continue;
    kept[lowerName] = value;
  }
  return kept;
}
