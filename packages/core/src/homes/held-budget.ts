import type { HomeSettings } from './home-settings.js';

/** Bounds the requests of a node that wait for their range, in number and bytes. */
export class HeldBudget {
  private requests = 0;
  private bytes = 0;

  public constructor(private readonly settings: HomeSettings) {}

  public take(bytes: number): boolean {
    const { maximumHeldBytes, maximumHeldRequests } = this.settings;
    if (this.requests >= maximumHeldRequests || this.bytes + bytes > maximumHeldBytes) return false;
    this.requests += 1;
    this.bytes += bytes;
    return true;
  }

  public release(bytes: number): void {
    this.requests -= 1;
    this.bytes -= bytes;
  }
}
