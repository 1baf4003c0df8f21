import { RefusalCause } from './entry-contract.js';
import type { RequestState } from './request-state.js';

/** A request with less time left before its deadline is not sent to another gate. */
export const minimumRemainingMilliseconds = 15;

export function refusalCauseOf(state: RequestState, now: number): RefusalCause {
  if (state.deadline - now < minimumRemainingMilliseconds) return RefusalCause.DeadlineTooShort;
  return state.isOverloaded ? RefusalCause.Overloaded : RefusalCause.NoServer;
}
