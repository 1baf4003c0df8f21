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

/** Fields that concern one connection only. `Expect` would make a client wait for an interim answer. */
const hopByHopNames: ReadonlySet<string> = new Set([
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

/** Names that the `Connection` field declares to be hop-by-hop. */
function namedByConnection(fields: ReadFields): ReadonlySet<string> {
  const names = new Set<string>();
  for (const [name, value] of Object.entries(fields)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const listed of String(value).split(',')) names.add(listed.trim().toLowerCase());
  }
  return names;
}

/**
 * Copies the fields that go on from one connection to the next under lower-case names: none of the
 * connection's own, and none of the system's, so that neither side can forge them.
 */
export function endToEndFields(fields: ReadFields): HeaderFields {
  const named = namedByConnection(fields);
  const kept: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(fields)) {
    const lowerName = name.toLowerCase();
    if (value === undefined || hopByHopNames.has(lowerName) || named.has(lowerName)) continue;
    if (lowerName.startsWith(internalPrefix)) continue;
    kept[lowerName] = value;
  }
  return kept;
}
