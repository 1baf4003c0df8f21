import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

import { distinctFields, endToEndFields, HeaderName } from '@peridotspring/core';
import type { HeaderFields, RequestHead } from '@peridotspring/core';

const methodsWithoutBody: ReadonlySet<string> = new Set(['DELETE', 'GET', 'HEAD', 'OPTIONS']);

/** Length of a request body in bytes, or `streamed`: the caller's `Content-Length` applies, or chunked encoding. */
export type BodyLength = number | 'streamed';

/** Header fields of a request to the upstream. The depth is incremented for the hop to the upstream. */
export function upstreamRequestFields(
  head: RequestHead,
  remainingMilliseconds: number,
  bodyLength: BodyLength,
): OutgoingHttpHeaders {
  const fields = endToEndFields(head.headers);
  const outgoing: OutgoingHttpHeaders = {};
  for (const name of Object.keys(fields)) {
    const value = fields[name];
    if (value !== undefined) outgoing[name] = typeof value === 'string' ? value : [...value];
  }
  if (bodyLength !== 'streamed') {
    delete outgoing['content-length'];
    if (bodyLength > 0 || !methodsWithoutBody.has(head.method))
      outgoing['content-length'] = bodyLength;
  }
  outgoing[HeaderName.Deadline] = String(Math.max(0, Math.floor(remainingMilliseconds)));
  outgoing[HeaderName.Depth] = String(head.depth + 1);
  outgoing[HeaderName.RequestId] = head.requestId;
  outgoing[HeaderName.Tenant] = head.tenant;
  return outgoing;
}

/** Header fields of an upstream response that are forwarded to the caller. */
export function upstreamResponseFields({
  headersDistinct,
}: Pick<IncomingMessage, 'headersDistinct'>): HeaderFields {
  return endToEndFields(distinctFields(headersDistinct));
}
