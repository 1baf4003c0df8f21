import { RequestClass } from '@peridotspring/core';
import type { AcceptedRequest, Configuration } from '@peridotspring/core';

import type { CallerLimits } from './caller-server-options.js';

/** Bounds on the body of one request, in bytes. */
export interface BodyLimits {
  /** A body up to this size is held whole; a longer one is streamed if `longest` is above it. */
  readonly held: number;
  readonly longest: number;
  /** What a caller is told whose body is longer. */
  readonly tooLargeDetail: string;
}

/** The narrower of the entry's own bounds and the declaration of the service. */
export function bodyLimitsOf(
  { requestClass, service }: AcceptedRequest,
  { bodyBytes, heldBodyBytes, keyedBodyBytes }: CallerLimits,
  { services }: Configuration,
): BodyLimits {
  const isKeyed = requestClass === RequestClass.NonIdempotent;
  const configured = Object.hasOwn(services, service) ? services[service] : undefined;
  const declared = configured?.maximumBodyBytes ?? Number.POSITIVE_INFINITY;
  const longest = Math.min(isKeyed ? keyedBodyBytes : bodyBytes, declared);
  const named = isKeyed ? 'a non-idempotent' : 'an idempotent';
  const where = longest === declared ? ` to ${service}` : '';
  return {
    held: Math.min(isKeyed ? keyedBodyBytes : heldBodyBytes, longest),
    longest,
    tooLargeDetail: `the body of ${named} request${where} must be at most ${longest} bytes`,
  };
}
