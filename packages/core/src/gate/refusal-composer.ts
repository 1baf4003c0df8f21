import { GateState } from '../messages/load-report.js';
import type { LoadReport } from '../messages/load-report.js';
import { RefusalReason } from '../messages/outcome.js';
import type { Refusal } from '../messages/outcome.js';
import type { GateSettings } from './gate-settings.js';
import type { UpstreamCapacity } from './upstream-capacity.js';

/** Writes load reports and refusals, with a time after which another attempt can succeed. */
export class RefusalComposer {
  public constructor(
    private readonly settings: GateSettings,
    private readonly capacity: UpstreamCapacity,
  ) {}

  /** Undefined while no upstream has announced itself. */
  public loadReport(queued: number, draining: boolean, now: number): LoadReport | undefined {
    const service = this.capacity.service;
    if (service === undefined) return undefined;
    return {
      inFlight: this.capacity.inFlight,
      latencyMilliseconds: this.capacity.reportedLatencyMilliseconds(now),
      limit: this.capacity.limit(now),
      queued,
      service,
      state: this.state(draining, now),
    };
  }

  /** `wait` is the time after which a slot is expected to be free for the request. */
  public refusal(
    reason: RefusalReason,
    wait: number,
    load: LoadReport | undefined,
    now: number,
  ): Refusal {
    const { minimumRetryAfterMilliseconds, maximumRetryAfterMilliseconds } = this.settings;
    const bounded = Math.min(maximumRetryAfterMilliseconds, this.retryAfter(reason, wait, now));
    const retryAfterMilliseconds = Math.ceil(Math.max(minimumRetryAfterMilliseconds, bounded));
    return { load, reason, retryAfterMilliseconds };
  }

  private state(draining: boolean, now: number): GateState {
    if (draining) return GateState.Draining;
    if (this.capacity.health.isDown) return GateState.Down;
    return this.capacity.isRamping(now) ? GateState.Warming : GateState.Serving;
  }

  private retryAfter(reason: RefusalReason, wait: number, now: number): number {
    if (reason === RefusalReason.UpstreamDown) {
      return this.capacity.health.untilTrialMilliseconds(now);
    }
    const isUnknown =
      reason === RefusalReason.Draining || reason === RefusalReason.NotServingService;
    return isUnknown ? this.settings.unknownRetryAfterMilliseconds : wait;
  }
}
