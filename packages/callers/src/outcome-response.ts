import type { ServerResponse } from 'node:http';

import { HeaderName, RequestClass, UnknownReason } from '@peridotspring/core';
import type { RefusedOutcome, RejectedRequest, UnknownOutcome } from '@peridotspring/core';

import { httpStatusOf } from './outcome-status.js';

/** The outcome of a request that this node rejects before sending it anywhere. */
export function outcomeOfRejection(
  { reason, requestClass }: RejectedRequest,
  retryAfterMilliseconds: number | undefined,
): RefusedOutcome | UnknownOutcome {
  const unknownReason = Object.values(UnknownReason).find((known) => known === reason);
  if (requestClass !== RequestClass.NonIdempotent || unknownReason === undefined) {
    return { kind: 'refused-not-run', reason, retryAfterMilliseconds };
  }
  // No attempt was started for this request, but an earlier request with the same key may have run, and only the
  // key's home node knows whether it did. So the outcome is unknown.
  return {
    attemptStarted: false,
    kind: 'outcome-unknown',
    reason: unknownReason,
    retryAfterMilliseconds,
  };
}

/** Writes the response for an outcome without an answer from the upstream. */
export function writeOutcome(
  response: ServerResponse,
  requestId: string,
  outcome: RefusedOutcome | UnknownOutcome,
  detail: string | undefined,
): void {
  const { kind, reason, retryAfterMilliseconds } = outcome;
  const hasAttemptStarted = outcome.kind === 'outcome-unknown' && outcome.attemptStarted;
  response.setHeader('content-type', 'application/json');
  response.setHeader(HeaderName.RequestId, requestId);
  response.setHeader(HeaderName.Outcome, kind);
  response.setHeader(HeaderName.Reason, reason);
  response.setHeader(HeaderName.Attempt, hasAttemptStarted ? 'started' : 'not-started');
  if (retryAfterMilliseconds !== undefined) {
    // The header holds whole seconds, rounded up; the body has the exact time.
    response.setHeader(HeaderName.RetryAfter, Math.ceil(retryAfterMilliseconds / 1_000));
  }
  response.statusCode = httpStatusOf(outcome);
  const body = { detail, outcome: kind, reason, requestId, retryAfterMilliseconds };
  response.end(`${JSON.stringify(body)}\n`);
}
