import type { IncomingHttpHeaders } from 'node:http';

import type { HeaderFields } from '@peridotspring/core';

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

const internalPrefix = 'peridotspring-';

/** Headers that belong to one connection and are not passed on. */
const connectionHeaders = new Set([
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

/** The caller's headers that the upstream receives: none of the system's own and none of the connection's. */
export function forwardedHeaders(headers: IncomingHttpHeaders): HeaderFields {
  const named = connectionTokens(headers.connection);
  const forwarded: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped =
      connectionHeaders.has(name) || name.startsWith(internalPrefix) || named.has(name);
    if (value !== undefined && !isDropped) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/** The upstream's headers that the caller receives. */
export function answerHeaders(headers: HeaderFields): Record<string, string | string[]> {
  const answer: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (connectionHeaders.has(lowerCase) || lowerCase.startsWith(internalPrefix)) {
      continue;
    }
    answer[lowerCase] = typeof value === 'string' ? value : [...value];
  }
  return answer;
}

/** The value of a header that must not stand twice. */
export function singleHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}

function connectionTokens(value: string | undefined): ReadonlySet<string> {
  return new Set((value ?? '').split(',').map((token) => token.trim().toLowerCase()));
}
