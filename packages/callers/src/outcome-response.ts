import type { ServerResponse } from 'node:http';

import { HeaderName, RequestClass, UnknownReason } from '@peridotspring/core';
import type { RefusedOutcome, RejectedRequest, UnknownOutcome } from '@peridotspring/core';

import { statusOf } from './outcome-status.js';

/** What a caller is told of a request that this node turns away before anything was sent. */
export function outcomeOfRejection(
  { reason, requestClass }: RejectedRequest,
  retryAfterMilliseconds: number | undefined,
): RefusedOutcome | UnknownOutcome {
  const unknownReason = Object.values(UnknownReason).find((known) => known === reason);
  if (requestClass !== RequestClass.NonIdempotent || unknownReason === undefined) {
    return { kind: 'refused-not-run', reason, retryAfterMilliseconds };
  }
  // Only the home of the key knows whether an earlier attempt ran.
  return {
    attemptStarted: false,
    kind: 'outcome-unknown',
    reason: unknownReason,
    retryAfterMilliseconds,
  };
}

/** Writes a whole response for an outcome without an answer. */
export function writeOutcome(
  response: ServerResponse,
  requestId: string,
  outcome: RefusedOutcome | UnknownOutcome,
  detail: string | undefined,
): void {
  const { kind, reason, retryAfterMilliseconds } = outcome;
  const started = outcome.kind === 'outcome-unknown' && outcome.attemptStarted;
  response.setHeader('content-type', 'application/json');
  response.setHeader(HeaderName.RequestId, requestId);
  response.setHeader(HeaderName.Outcome, kind);
  response.setHeader(HeaderName.Reason, reason);
  response.setHeader(HeaderName.Attempt, started ? 'started' : 'not-started');
  if (retryAfterMilliseconds !== undefined) {
    // The header has whole seconds; the body has the exact time.
    response.setHeader(HeaderName.RetryAfter, Math.ceil(retryAfterMilliseconds / 1_000));
  }
  response.statusCode = statusOf(outcome);
  const body = { detail, outcome: kind, reason, requestId, retryAfterMilliseconds };
  response.end(`${JSON.stringify(body)}\n`);
}
