/** The parts of a response that decide what it says about its request. */
export interface ResponseHead {
  readonly status: number;
  /** Whether the response has exactly one signature of the server. */
  readonly isSigned: boolean;
  /** Whether the server states that it did not run the request. */
  readonly statesNotExecuted: boolean;
  /** Whether the body is encoded, which servers never do. */
  readonly isEncoded: boolean;
}

/** What a response says about its request. */
export type ResponseVerdict =
  | { readonly kind: 'answer' }
  /** The request did not run at this server and will not. */
  | { readonly kind: 'not-run' }
  /** The response is not an answer of the server, whatever it says. The request may have run. */
  | { readonly kind: 'invalid'; readonly detail: string };

const firstFinalStatus = 200;
const firstErrorStatus = 400;
const lastFinalStatus = 599;
/** Statuses that promise a caller that its request has not run and never will. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Why no response may have the status; undefined if one may. All statuses from 200 to 599 may be answers, also those that
 * are not registered (RFC 9110, section 15).
 */
export function findStatusFault(status: number): string | undefined {
  const isFinal = status >= firstFinalStatus && status <= lastFinalStatus;
  if (!isFinal || !Number.isInteger(status)) return `response has the invalid status ${status}`;
  return undefined;
}

/**
 * Why an answer with the status must not be passed on to the caller of the request; undefined if it may be. A server that did
 * not run a request states it explicitly, and the node then refuses or moves the request itself. Without that, a status that
 * promises it is no evidence: the caller of a non-idempotent request would send it again, and it could run twice.
 */
export function findAnswerFault(status: number, isIdempotent: boolean): string | undefined {
  if (!isIdempotent && promiseStatuses.has(status))
    return `response has the status ${status} but does not state that the request was not executed`;
  return findStatusFault(status);
}

/** Decides what a response with the identifier of its request says about the request. */
export function judgeResponse(head: ResponseHead, isIdempotent: boolean): ResponseVerdict {
  const { isSigned, status, statesNotExecuted } = head;
  const statusFault = findStatusFault(status);
  if (statusFault !== undefined) return invalid(statusFault);
  if (statesNotExecuted) {
    if (status >= firstErrorStatus) return { kind: 'not-run' };
    return invalid(
      `response has the status ${status} but states that the request was not executed`,
    );
  }
  const answerFault = findAnswerFault(status, isIdempotent);
  if (answerFault !== undefined) return invalid(answerFault);
  if (head.isEncoded) return invalid('response has a content encoding');
  const isSuccess = status < 300;
  // A promise to the caller of an idempotent request does no harm, but has to be the server's own.
  if (!isSigned && (isSuccess || promiseStatuses.has(status)))
    return invalid(`response with the status ${status} has no signature`);
  return { kind: 'answer' };
}

function invalid(detail: string): ResponseVerdict {
  return { detail, kind: 'invalid' };
}
