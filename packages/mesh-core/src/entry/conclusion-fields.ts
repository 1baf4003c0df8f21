import type { GateLoad } from '../messages/mesh-frames.js';
import { RefusalCause } from './entry-contract.js';
import type { EntryEvent } from './entry-contract.js';
import type { RequestState } from './request-state.js';

/** A request with less time left before its deadline is not sent to another gate. */
export const minimumRemainingMilliseconds = 15;

/** Log fields for the occupancy of a gate. */
export function occupancyFields({ limit, running, waiting }: GateLoad): EntryEvent['fields'] {
  return { limit, running, waiting };
}

/** Log fields for the last decline. Under load, the final event may be the only one logged for a request. */
export function lastDeclineFields({ lastDecline }: RequestState): EntryEvent['fields'] {
  if (lastDecline === undefined) return {};
  const { frame, node } = lastDecline;
  return { lastDecline: frame.reason, lastGate: node, ...occupancyFields(frame.load) };
}

export function refusalCauseOf(state: RequestState, now: number): RefusalCause {
  if (state.deadline - now < minimumRemainingMilliseconds) return RefusalCause.DeadlineTooShort;
  return state.isOverloaded ? RefusalCause.Overloaded : RefusalCause.NoServer;
}
