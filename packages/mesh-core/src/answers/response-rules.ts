/** The parts of a response's head that decide whether it counts as the server's answer. */
export interface ResponseHead {
  readonly status: number;
}

const firstFinalStatus = 200;
const lastFinalStatus = 599;

/**
 * Why a response is not an answer of the server, whatever it says; undefined if it may be one. Such a response is a
 * failure of the server, and the request may have run.
 *
 * All statuses from 200 to 599 may be answers, also those that are not registered (RFC 9110, section 15).
 */
export function findResponseFault({ status }: ResponseHead): string | undefined {
  const isFinal = status >= firstFinalStatus && status <= lastFinalStatus;
  if (!isFinal || !Number.isInteger(status)) return `response has the invalid status ${status}`;
  return undefined;
}
