import { serviceDefaults } from '../messages/service-configuration.js';
import type { ConcurrencyLimitSettings } from './gradient-concurrency-limit.js';
import { defaultConcurrencyLimitSettings } from './gradient-concurrency-limit.js';

/** Settings of a gate. */
export interface GateSettings {
  /** Length of the queue as a multiple of the announced slots. */
  readonly queuePerSlot: number;
  /** Share of the slots that a cold upstream starts with, 0 to 1. */
  readonly rampStartShare: number;
  /** Answers per slot that complete a ramp without any time passing. */
  readonly rampAnswersPerSlot: number;
  /** Weight of the newest sample in the smoothed latencies, 0 to 1. */
  readonly latencySmoothing: number;
  /** Answers over which the shortest service time is remembered. */
  readonly shortestServiceTimeSamples: number;
  /** Latency that a failure counts as, at most; a caller with a long deadline must not set it. */
  readonly failureLatencyMilliseconds: number;
  /** Refused connections in a row after which the upstream counts as down. */
  readonly refusedConnectionsUntilDown: number;
  /** Time between two requests that try whether an upstream that is down answers again. */
  readonly trialIntervalMilliseconds: number;
  /** An unhealthy poll is ignored when the upstream answered a request this recently. */
  readonly answerEvidenceMilliseconds: number;
  /** Time after which a polled load is no longer believed. */
  readonly polledLoadMilliseconds: number;
  /** Largest share of the slots that a polled load can take away, 0 to 1. */
  readonly polledLoadMaximumShare: number;
  readonly minimumRetryAfterMilliseconds: number;
  readonly maximumRetryAfterMilliseconds: number;
  /** Retry-after where the gate can't tell when it will serve again. */
  readonly unknownRetryAfterMilliseconds: number;
  readonly concurrencyLimit: ConcurrencyLimitSettings;
}

/**
 * Defaults of a gate.
 * A load endpoint that lies must not take an upstream out of service, so a polled load takes away
 * half of the slots at most; real foreign load also shows in the latency.
 */
export const defaultGateSettings: GateSettings = {
  answerEvidenceMilliseconds: 1_000,
  concurrencyLimit: defaultConcurrencyLimitSettings,
  failureLatencyMilliseconds: serviceDefaults.defaultDeadlineMilliseconds,
  latencySmoothing: 0.1,
  maximumRetryAfterMilliseconds: 10_000,
  minimumRetryAfterMilliseconds: 10,
  polledLoadMaximumShare: 0.5,
  polledLoadMilliseconds: 3_000,
  queuePerSlot: 2,
  rampAnswersPerSlot: 20,
  rampStartShare: 0.2,
  refusedConnectionsUntilDown: 2,
  shortestServiceTimeSamples: 64,
  trialIntervalMilliseconds: 500,
  unknownRetryAfterMilliseconds: 1_000,
};
