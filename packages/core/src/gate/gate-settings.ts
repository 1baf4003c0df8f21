import { serviceDefaults } from '../messages/service-configuration.js';
import type { ConcurrencyLimitSettings } from './gradient-concurrency-limit.js';
import { defaultConcurrencyLimitSettings } from './gradient-concurrency-limit.js';

/** Settings of a gate. */
export interface GateSettings {
  /** Capacity of the queue per announced slot, unless the configuration of the service sets it. */
  readonly queuePerSlot: number;
  /** Share of the slots that is open when slow start begins, 0 to 1. */
  readonly rampStartShare: number;
  /** Number of answers per slot after which slow start is complete, however little time has passed. */
  readonly rampAnswersPerSlot: number;
  /** Weight of the newest sample in the smoothed latencies, 0 to 1. */
  readonly latencySmoothing: number;
  /** Length of a window of the shortest service time, in answers. */
  readonly shortestServiceTimeSamples: number;
  /**
   * Upper bound of the time to the deadline that is recorded as the latency of a failure. Without it, a
   * failed request with a long deadline would be recorded with that whole time.
   */
  readonly failureLatencyMilliseconds: number;
  /** Consecutive refused connections after which the upstream counts as down. */
  readonly refusedConnectionsUntilDown: number;
  /** Minimum time between two trial requests to an upstream that is down. */
  readonly trialIntervalMilliseconds: number;
  /** An unhealthy poll is ignored if the upstream answered a request within this time. */
  readonly recentAnswerMilliseconds: number;
  /** Time for which a polled load is valid. */
  readonly polledLoadValidMilliseconds: number;
  /** Maximum share of the slots that the gate leaves unused because of a polled load, 0 to 1. */
  readonly polledLoadMaximumShare: number;
  readonly minimumRetryAfterMilliseconds: number;
  readonly maximumRetryAfterMilliseconds: number;
  /** Retry-after for refusals where the gate can't estimate when it will serve again. */
  readonly unknownRetryAfterMilliseconds: number;
  readonly concurrencyLimit: ConcurrencyLimitSettings;
}

/**
 * Defaults of {@link GateSettings}.
 * A polled load makes the gate leave at most half of the slots unused, so that a wrong load endpoint can't take an
 * upstream out of service. Real load from elsewhere also shows in the latency.
 */
export const defaultGateSettings: GateSettings = {
  recentAnswerMilliseconds: 1_000,
  concurrencyLimit: defaultConcurrencyLimitSettings,
  failureLatencyMilliseconds: serviceDefaults.defaultDeadlineMilliseconds,
  latencySmoothing: 0.1,
  maximumRetryAfterMilliseconds: 10_000,
  minimumRetryAfterMilliseconds: 10,
  polledLoadMaximumShare: 0.5,
  polledLoadValidMilliseconds: 3_000,
  queuePerSlot: 2,
  rampAnswersPerSlot: 20,
  rampStartShare: 0.2,
  refusedConnectionsUntilDown: 2,
  shortestServiceTimeSamples: 64,
  trialIntervalMilliseconds: 500,
  unknownRetryAfterMilliseconds: 1_000,
};
