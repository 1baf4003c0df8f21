import type { HomeSettings } from './home-settings.js';

/**
 * Limits the number and total body size of the requests that are queued on this node, over all ranges.
 */
export class RequestQueueBudget {
  private requests = 0;
  private bytes = 0;

  public constructor(private readonly settings: HomeSettings) {}

  /** Returns false, and reserves nothing, if a limit would be exceeded. */
  public reserve(bytes: number): boolean {
    const { maximumQueuedBytes, maximumQueuedRequests } = this.settings;
    if (this.requests >= maximumQueuedRequests || this.bytes + bytes > maximumQueuedBytes)
      return false;
    this.requests += 1;
    this.bytes += bytes;
    return true;
  }

  public release(bytes: number): void {
    this.requests -= 1;
    this.bytes -= bytes;
  }
}
