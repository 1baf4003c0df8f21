import type { ServiceConfiguration } from '../messages/service-configuration.js';
import type { LoadReport } from '../messages/load-report.js';
import type { UpstreamAnnouncement } from '../messages/member.js';
import type { Refusal } from '../messages/outcome.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** A request to be admitted to the local upstream. */
export interface GateRequest {
  readonly executionId: number;
  readonly service: string;
  readonly tenant: string;
  /** Monotonic time by which the response is due. */
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

/** How a started request ended. */
export const ExecutionEnd = {
  Answered: 'answered',
  Cancelled: 'cancelled',
  Failed: 'failed',
  /** No connection to the upstream could be established. */
  NotReached: 'not-reached',
} as const;
export type ExecutionEnd = (typeof ExecutionEnd)[keyof typeof ExecutionEnd];

/** Number of requests that a tenant has at the gate. */
export interface TenantUsage {
  readonly tenant: string;
  readonly running: number;
  readonly waiting: number;
}

/**
 * Admission control in front of the local upstream. Every request passes through the gate, so its
 * in-flight count is exact. Methods return decisions on the given and on previously queued requests.
 */
export interface GateContract {
  configure(configuration: ServiceConfiguration, now: ClockReading): readonly GateDecision[];
  announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly GateDecision[];
  setDraining(isDraining: boolean, now: ClockReading): readonly GateDecision[];
  /** Handles the departure of the upstream. */
  onUpstreamLeft(now: ClockReading): readonly GateDecision[];
  /** Asks for admission: the request is started, queued or refused. */
  submit(request: GateRequest, now: ClockReading): readonly GateDecision[];
  /** Frees the slot of a started request that has ended. */
  onFinished(executionId: number, end: ExecutionEnd, now: ClockReading): readonly GateDecision[];
  /**
   * Removes a request from the queue. Returns false if it is not queued; started ones end by
   * `onFinished`.
   */
  cancelWaiting(executionId: number): boolean;
  /** Handles the result of a poll; `inFlight` is undefined if the upstream does not report it. */
  onPolled(
    isHealthy: boolean,
    inFlight: number | undefined,
    now: ClockReading,
  ): readonly GateDecision[];
  tick(now: ClockReading): readonly GateDecision[];
  /** Current load of the upstream; undefined while none is announced. */
  loadReport(now: ClockReading): LoadReport | undefined;
  /** Usage of the tenants that have running or waiting requests. */
  tenantUsage(): readonly TenantUsage[];
  /** Number of running and waiting requests. */
  readonly requestCount: number;
}
