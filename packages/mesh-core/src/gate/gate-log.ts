import type { DeclineReason } from '../messages/mesh-frames.js';
import type { GateCall } from './gate-call-registry.js';
import { GateEventName } from './gate-contract.js';
import type { ExecutionResult, GateEvent } from './gate-contract.js';

/** What a gate knew when it declined a request. */
export interface DeclineDetails {
  readonly reason: DeclineReason;
  /** Expected time until an answer if the request had been admitted, in milliseconds. */
  readonly expected: number;
  /** Least remaining time that the request would have needed, in milliseconds. */
  readonly needed: number;
  readonly limit: number;
  readonly running: number;
  readonly waiting: number;
}

/** Writes the log events of a gate's requests. `limit` is the gate's concurrency limit for the request. */
export class GateLog {
  public constructor(private readonly write: (event: GateEvent) => void) {}

  public requestStarted(call: GateCall, limit: number): void {
    this.writeEvent(GateEventName.RequestStarted, call, startFields(call, limit));
  }

  public requestFinished(
    call: GateCall,
    limit: number,
    result: ExecutionResult,
    now: number,
  ): void {
    const isAborted = call.state === 'aborted';
    this.writeEvent(GateEventName.RequestFinished, call, {
      ...startFields(call, limit),
      late: now > call.targetAt,
      milliseconds: Math.round(now - call.startedAt),
      outcome: isAborted ? 'cancelled' : result.kind,
      ...(result.kind === 'answered' && { status: result.status }),
      ...(result.kind === 'failed' && { detail: result.detail }),
    });
  }

  public requestDeclined(call: GateCall, details: DeclineDetails, now: number): void {
    this.writeEvent(GateEventName.RequestDeclined, call, {
      expected: Math.round(details.expected),
      limit: details.limit,
      needed: Math.round(details.needed),
      reason: details.reason,
      remaining: Math.round(call.deadline - now),
      running: details.running,
      waiting: details.waiting,
    });
  }

  public requestCancelled(call: GateCall): void {
    this.writeEvent(GateEventName.RequestCancelled, call, { state: call.state });
  }

  private writeEvent(
    event: GateEvent['event'],
    { frame, from }: GateCall,
    fields: GateEvent['fields'],
  ): void {
    const identity = { from, request: frame.requestId, route: frame.routeName };
    this.write({ event, fields: { ...identity, ...fields } });
  }
}

/** Log fields that describe the state of the gate when it started the request. */
function startFields(call: GateCall, limit: number): GateEvent['fields'] {
  const { runningAtStart, slowdownAgeAtStart, slowdownAtStart, startedAt } = call;
  return {
    limit,
    running: runningAtStart,
    slowdown: slowdownAtStart,
    waited: Math.round(startedAt - call.arrivedAt),
    ...(Number.isFinite(slowdownAgeAtStart) && { slowdownAge: Math.round(slowdownAgeAtStart) }),
  };
}
