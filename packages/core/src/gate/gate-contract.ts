import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { LoadReport } from '../messages/load-report.js';
import type { UpstreamAnnouncement } from '../messages/member.js';
import type { Refusal } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A request that asks to run at the local upstream. */
export interface GateRequest {
  readonly executionId: number;
  readonly service: string;
  readonly tenant: string;
  /** Monotonic time by which the answer is due. */
  readonly deadline: number;
}

export interface StartDecision {
  readonly kind: 'start';
  readonly executionId: number;
}

export interface RefuseDecision {
  readonly kind: 'refuse';
  readonly executionId: number;
  readonly refusal: Refusal;
}

export type GateDecision = StartDecision | RefuseDecision;

export const ExecutionEnd = {
  Answered: 'answered',
  Cancelled: 'cancelled',
  Failed: 'failed',
  NotReached: 'not-reached',
} as const;
export type ExecutionEnd = (typeof ExecutionEnd)[keyof typeof ExecutionEnd];

/** What a tenant holds at the gate. */
export interface TenantOccupation {
  readonly tenant: string;
  readonly running: number;
  readonly waiting: number;
}

/** Decides what runs at the local upstream. It sees every request, so its in-flight count is exact. */
export interface GateContract {
  configure(configuration: ServiceConfiguration, now: ClockReading): readonly GateDecision[];
  announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly GateDecision[];
  setDraining(draining: boolean, now: ClockReading): readonly GateDecision[];
  leave(now: ClockReading): readonly GateDecision[];
  offer(request: GateRequest, now: ClockReading): readonly GateDecision[];
  /** Frees the slot of a started request. */
  finished(executionId: number, end: ExecutionEnd, now: ClockReading): readonly GateDecision[];
  /** Removes a waiting request. Returns true if it was waiting; a started one is left to `finished`. */
  cancelWaiting(executionId: number): boolean;
  polled(
    healthy: boolean,
    inFlight: number | undefined,
    now: ClockReading,
  ): readonly GateDecision[];
  tick(now: ClockReading): readonly GateDecision[];
  /** Undefined while no upstream has announced itself. */
  load(now: ClockReading): LoadReport | undefined;
  /** Tenants that run or wait. */
  tenantUse(): readonly TenantOccupation[];
  /** Requests that run or wait. */
  readonly occupied: number;
}
