import type { CallOutcome, RefusalReason, UnknownReason } from '@peridotspring/core';

const refusalStatuses: Readonly<Record<RefusalReason, number>> = {
  'all-targets-refused': 503,
  'body-too-large': 413,
  'conflicting-lengths': 400,
  'deadline-expired': 504,
  'deadline-malformed': 400,
  'deadline-too-short': 504,
  'depth-exceeded': 400,
  draining: 503,
  'entry-busy': 503,
  'headers-too-large': 431,
  'key-from-future': 400,
  'key-malformed': 400,
  'key-missing': 400,
  'key-reused': 422,
  'key-store-full': 503,
  'no-slot': 503,
  'no-upstream': 503,
  'node-stopping': 503,
  'not-serving-service': 503,
  'peer-congested': 503,
  'peer-unreachable': 503,
  'queue-full': 503,
  'tenant-limit': 429,
  'tenant-over-share': 429,
  'unknown-service': 404,
  'upstream-down': 503,
  'void-attempt': 409,
  'warming-up': 503,
};

const unknownStatuses: Readonly<Record<UnknownReason, number>> = {
  'answer-cut': 502,
  'answer-not-kept': 502,
  'answer-too-large': 502,
  'connection-lost': 502,
  'created-before-takeover': 502,
  'deadline-after-start': 504,
  'deadline-malformed': 400,
  'depth-exceeded': 400,
  'entry-busy': 503,
  'home-unreachable': 502,
  'key-busy': 503,
  'key-too-old': 502,
  'no-home': 502,
  'no-lease': 502,
  'node-stopping': 503,
  'upstream-failed': 502,
};

/** The HTTP status of a final outcome. */
export function httpStatusOf(outcome: CallOutcome): number {
  switch (outcome.kind) {
    case 'answered':
      return outcome.status;
    case 'refused-not-run':
      return refusalStatuses[outcome.reason];
    case 'outcome-unknown':
      return unknownStatuses[outcome.reason];
  }
}
