import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { HeaderFields, RequestHead } from '@peridotspring/core';

/** Header with the time that is left for an answer. */
export const deadlineHeader = 'peridotspring-deadline-ms';
/** Header with the number of hops that a request has made. */
export const depthHeader = 'peridotspring-depth';
/** Header that identifies a request in logs. */
export const requestIdHeader = 'peridotspring-request-id';
/** Header with the name of the tenant. */
export const tenantHeader = 'peridotspring-tenant';

const internalPrefix = 'peridotspring-';

/** Fields that concern one connection only. `Expect` would make the client wait for an interim answer. */
const hopByHopNames = new Set([
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

/** Copies end-to-end fields under lower-case names, without the system's own ones. */
function endToEndFields(fields: ReadFields): Record<string, string | readonly string[]> {
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

/** Length of a request's body: known, sent in chunks, or as the caller's `Content-Length` says. */
export type BodyLength = number | 'streamed';

/** Fields of a request to the upstream. The depth counts the hop to the upstream. */
export function upstreamRequestFields(
  head: RequestHead,
  remainingMilliseconds: number,
  bodyLength: BodyLength,
): OutgoingHttpHeaders {
  const fields = endToEndFields(head.headers);
  const outgoing: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(fields)) {
    outgoing[name] = typeof value === 'string' ? value : [...value];
  }
  if (bodyLength !== 'streamed') {
    delete outgoing['content-length'];
    const isBodyExpected = !['DELETE', 'GET', 'HEAD', 'OPTIONS'].includes(head.method);
    if (bodyLength > 0 || isBodyExpected) outgoing['content-length'] = bodyLength;
  }
  outgoing[deadlineHeader] = String(Math.max(0, Math.floor(remainingMilliseconds)));
  outgoing[depthHeader] = String(head.depth + 1);
  outgoing[requestIdHeader] = head.requestId;
  outgoing[tenantHeader] = head.tenant;
  return outgoing;
}

/** Fields of an answer that are passed on. */
export function upstreamAnswerFields(headers: IncomingHttpHeaders): HeaderFields {
  return endToEndFields(headers);
}
