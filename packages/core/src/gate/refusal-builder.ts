import { GateState } from '../messages/load-report.js';
import type { LoadReport } from '../messages/load-report.js';
import { RefusalReason } from '../messages/outcome.js';
import type { Refusal } from '../messages/outcome.js';
import type { GateSettings } from './gate-settings.js';
import type { UpstreamCapacity } from './upstream-capacity.js';

/** Builds load reports and refusals; a refusal says after which time another attempt can succeed. */
export class RefusalBuilder {
  public constructor(
    private readonly settings: GateSettings,
    private readonly capacity: UpstreamCapacity,
  ) {}

  /** Undefined while no upstream is announced. */
  public buildLoadReport(queued: number, isDraining: boolean, now: number): LoadReport | undefined {
    const service = this.capacity.service;
    if (service === undefined) return undefined;
    return {
      inFlight: this.capacity.inFlight,
      latencyMilliseconds: this.capacity.reportedLatencyMilliseconds(now),
      limit: this.capacity.limit(now),
      queued,
      service,
      state: this.gateState(isDraining, now),
    };
  }

  /** `waitMilliseconds` is the expected time until a slot is free for the request. */
  public buildRefusal(
    reason: RefusalReason,
    waitMilliseconds: number,
    load: LoadReport | undefined,
    now: number,
  ): Refusal {
    const { minimumRetryAfterMilliseconds, maximumRetryAfterMilliseconds } = this.settings;
    const bounded = Math.min(
      maximumRetryAfterMilliseconds,
      this.retryAfter(reason, waitMilliseconds, now),
    );
    const retryAfterMilliseconds = Math.ceil(Math.max(minimumRetryAfterMilliseconds, bounded));
    return { load, reason, retryAfterMilliseconds };
  }

  private gateState(isDraining: boolean, now: number): GateState {
    if (isDraining) return GateState.Draining;
    if (this.capacity.health.isDown) return GateState.Down;
    return this.capacity.isInSlowStart(now) ? GateState.Warming : GateState.Serving;
  }

  private retryAfter(reason: RefusalReason, waitMilliseconds: number, now: number): number {
    if (reason === RefusalReason.UpstreamDown) {
      return this.capacity.health.untilTrialMilliseconds(now);
    }
    const isUnknown =
      reason === RefusalReason.Draining || reason === RefusalReason.NotServingService;
    return isUnknown ? this.settings.unknownRetryAfterMilliseconds : waitMilliseconds;
  }
}
