import { RequestClass } from '@peridotspring/core';
import type { AcceptedRequest, Configuration } from '@peridotspring/core';

import type { CallerLimits } from './caller-server-options.js';

/** Limits on the body of a request, in bytes. */
export interface BodyLimits {
  /** A body up to this size is buffered; a longer one is streamed if `maximumBytes` is larger than this. */
  readonly bufferedBytes: number;
  readonly maximumBytes: number;
  /** Error detail for the caller of a request with a longer body. */
  readonly tooLargeDetail: string;
}

/** The lower of the entry's own limits and the maximum declared for the service. */
export function bodyLimitsOf(
  { requestClass, service }: AcceptedRequest,
  { bodyBytes, bufferedBodyBytes, keyedBodyBytes }: CallerLimits,
  { services }: Configuration,
): BodyLimits {
  const isKeyed = requestClass === RequestClass.NonIdempotent;
  const serviceConfiguration = Object.hasOwn(services, service) ? services[service] : undefined;
  const declaredMaximumBytes = serviceConfiguration?.maximumBodyBytes ?? Number.POSITIVE_INFINITY;
  const maximumBytes = Math.min(isKeyed ? keyedBodyBytes : bodyBytes, declaredMaximumBytes);
  const requestPhrase = isKeyed ? 'a non-idempotent' : 'an idempotent';
  const servicePhrase = maximumBytes === declaredMaximumBytes ? ` to ${service}` : '';
  return {
    bufferedBytes: Math.min(isKeyed ? keyedBodyBytes : bufferedBodyBytes, maximumBytes),
    maximumBytes,
    tooLargeDetail: `the body of ${requestPhrase} request${servicePhrase} must be at most ${maximumBytes} bytes`,
  };
}
