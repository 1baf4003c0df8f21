import type { GateLoad } from '../messages/mesh-frames.js';
import type { GateView } from '../placement/gate-table.js';
import { EntryEventName } from './entry-contract.js';
import type { EntryEvent, EntryOutcome } from './entry-contract.js';
import type { Attempt, RequestState } from './request-state.js';

/** Writes the log events of the requests of an entry. */
export class EntryLog {
  public constructor(private readonly writeEvent: (event: EntryEvent) => void) {}

  public write(
    event: EntryEvent['event'],
    state: RequestState,
    fields: EntryEvent['fields'],
  ): void {
    this.writeEvent({ event, fields: { request: state.request.requestId, ...fields } });
  }

  public attempt(event: EntryEvent['event'], attempt: Attempt, now: number): void {
    this.write(event, attempt.state, {
      gate: attempt.nodeName,
      milliseconds: Math.round(now - attempt.sentAt),
    });
  }

  /** Logs the load that this node knew of a gate when it sent the request. */
  public placement(
    state: RequestState,
    { load, loadReceivedAt, node }: GateView,
    isOptional: boolean,
    isSent: boolean,
    now: number,
  ): void {
    this.write(EntryEventName.RequestPlaced, state, {
      at: Math.round(now - state.request.receivedAt),
      failures: Math.round(load.failureShare * 100) / 100,
      gate: node.name,
      loadAge: Math.round(now - loadReceivedAt),
      optional: isOptional,
      running: load.running,
      sent: isSent,
      slowdown: load.slowdown,
      wait: Math.round(load.waitMilliseconds),
      waiting: load.waiting,
    });
  }

  public conclusion(
    state: RequestState,
    outcome: EntryOutcome,
    nodeName: string | undefined,
    now: number,
  ): void {
    const { receivedAt, route } = state.request;
    this.write(EntryEventName.RequestConcluded, state, {
      configuration: state.configurationVersion,
      // Declines as busy are not counted separately; the count of attempts that permit them is used instead.
      declined: state.finalDeclineCount + state.optionalAttemptCount,
      gate: nodeName ?? 'none',
      late: now > state.targetDeadline,
      milliseconds: Math.round(now - receivedAt),
      nested: state.isNested,
      outcome: outcome.kind,
      route: route.name,
      service: state.service,
      ...(state.spentBeforeMilliseconds > 0 && {
        spentBefore: Math.round(state.spentBeforeMilliseconds),
      }),
      ...(outcome.kind === 'answered' ? { status: outcome.status } : { cause: outcome.cause }),
      ...(outcome.kind !== 'answered' && lastDeclineFields(state)),
      ...(outcome.kind === 'refused' && {
        retryAfter: Math.round(outcome.retryAfterMilliseconds),
      }),
    });
  }
}

/** Log fields for the occupancy of a gate. */
export function occupancyFields({ limit, running, waiting }: GateLoad): EntryEvent['fields'] {
  return { limit, running, waiting };
}

/** Log fields for the last decline. Under load, the final event may be the only one logged for a request. */
function lastDeclineFields({ lastDecline }: RequestState): EntryEvent['fields'] {
  if (lastDecline === undefined) return {};
  const { frame, node } = lastDecline;
  return { lastDecline: frame.reason, lastGate: node, ...occupancyFields(frame.load) };
}
