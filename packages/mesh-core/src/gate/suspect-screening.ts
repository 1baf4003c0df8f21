import type { StartFrame } from '../messages/mesh-frames.js';
import type { RequestScreening } from '../quarantine/request-quarantine.js';

/**
 * Decides which requests may reach the server, given the crashes that they may have caused. Requests that may have caused
 * several run one at a time, so that the next crash shows which of those that ran together before is the cause.
 */
export class SuspectScreening {
  public constructor(private readonly quarantine: RequestScreening) {}

  public isQuarantined(frame: StartFrame, now: number): boolean {
    return this.quarantine.suspicionOf(frame, now).quarantinedUntil !== undefined;
  }

  /** Whether the request may start beside the running ones. */
  public mayStart(frame: StartFrame, running: Iterable<StartFrame>, now: number): boolean {
    if (!this.isIsolated(frame, now)) return true;
    for (const other of running) if (this.isIsolated(other, now)) return false;
    return true;
  }

  private isIsolated(frame: StartFrame, now: number): boolean {
    return this.quarantine.suspicionOf(frame, now).isIsolated;
  }
}
