import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { distinctFields, endToEndFields, RequestClass } from '@peridotspring/core';
import type { AcceptedRequest, CallerRequestMessage } from '@peridotspring/core';

export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly requestId: string;
  readonly requestNumber: number;
  readonly tenant: string;
}

/** Creates the core's message for a request; an undefined body is streamed. */
export function createRequestMessage(
  { request, requestId, requestNumber, tenant }: ReceivedRequest,
  checked: AcceptedRequest,
  body: Uint8Array | undefined,
): CallerRequestMessage {
  const { deadlineMilliseconds, depth, key, path, requestClass, service } = checked;
  const method = request.method ?? 'GET';
  const headers = endToEndFields(distinctFields(request.headersDistinct));
  const isKeyed = requestClass === RequestClass.NonIdempotent;
  return {
    body,
    deadlineMilliseconds,
    digest: isKeyed && body !== undefined ? digestOf(method, path, body) : undefined,
    // The depth is unchanged here: the upstream client increments it when it sends the request to the upstream.
    head: { depth, headers, method, path, requestId, service, tenant },
    key,
    kind: 'caller-request',
    requestClass,
    requestNumber,
    streamedBody: body === undefined,
  };
}

function digestOf(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex');
}
