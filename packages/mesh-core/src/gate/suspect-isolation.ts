import type { StartFrame } from '../messages/mesh-frames.js';
import type { RequestScreening } from '../quarantine/request-quarantine.js';

/**
 * Runs requests that may have caused several crashes one at a time, so that the next crash shows which of those that were
 * running together on a crashed server is the cause.
 */
export class SuspectIsolation {
  public constructor(private readonly quarantine: RequestScreening) {}

  /** Whether the request may start beside the running ones. */
  public mayStart(frame: StartFrame, running: Iterable<StartFrame>, now: number): boolean {
    if (!this.isIsolated(frame, now)) return true;
    for (const other of running) if (this.isIsolated(other, now)) return false;
    return true;
  }

  private isIsolated(frame: StartFrame, now: number): boolean {
    return !this.quarantine.isEmpty && this.quarantine.suspicionOf(frame, now).isIsolated;
  }
}
