import type { AllotmentBounds } from './allotment-bounds.js';

/**
 * The token bucket of a tenant at a broker. Requests that nodes hold a grant for count towards its capacity until the
 * nodes report that they are used, or the grant has expired.
 */
export class PoolBucket {
  private available = 0;
  private granted = 0;
  private advancedAt: number;

  public constructor(
    private bounds: AllotmentBounds,
    now: number,
  ) {
    this.advancedAt = now;
  }

  public get tokens(): number {
    return this.available;
  }

  /** Requests that nodes may still make with earlier grants. */
  public get outstanding(): number {
    return this.granted;
  }

  public capacity(share: number): number {
    return share * this.bounds.capacity;
  }

  /** Time until the next whole token. */
  public millisecondsUntilToken(share: number): number {
    const rate = share * this.bounds.requestsPerMillisecond;
    return rate > 0 ? Math.max(0, 1 - this.available) / rate : Infinity;
  }

  /** Replaces the bounds; a lower capacity applies at once. */
  public configure(bounds: AllotmentBounds, share: number, now: number): void {
    this.advance(share, now);
    this.bounds = bounds;
    this.limit(share);
  }

  /** Refills the bucket for the time since the last call, in which the broker had the share. */
  public advance(share: number, now: number): void {
    const elapsed = Math.max(0, now - this.advancedAt);
    this.advancedAt = Math.max(this.advancedAt, now);
    this.available += elapsed * share * this.bounds.requestsPerMillisecond;
    this.limit(share);
  }

  /** Applies the capacity of the share. */
  public limit(share: number): void {
    this.available = Math.min(this.available, Math.max(0, this.capacity(share) - this.granted));
  }

  public take(count: number): void {
    this.available -= count;
  }

  public giveBack(count: number): void {
    this.available += count;
  }

  /** A node's outstanding grant has changed. */
  public replaceOutstanding(before: number, after: number): void {
    this.granted = Math.max(0, this.granted + after - before);
  }
}
