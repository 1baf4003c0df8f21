import type { AllotmentGrant, AllotmentNeed } from '../messages/allotment-frames.js';

/** Time for which a node would like to hold requests ahead of need. */
const aheadMilliseconds = 600;
/** Below this rate the requests of a node are so far apart that each is asked for when it comes. */
const minimumAheadPerSecond = 2;
const maximumAhead = 256;
/** Minimum time over which the request rate is measured. */
const rateSampleMilliseconds = 200;
const millisecondsPerSecond = 1_000;

/** What a node may use of a tenant's allotment at present. */
export class AllotmentAccount {
  private tokens = 0;
  /** Largest number of requests that the broker takes the node to hold a grant for. */
  private ceiling = 0;
  private expiresAt = -Infinity;
  /** Until then the broker has nothing to grant, as far as is known. */
  private deniedUntil = -Infinity;
  private requestsPerSecond = 0;
  private arrivals = 0;
  private sampledAt: number;
  /** What was left of the grant when the broker was last asked. */
  private unspentWhenAsked = 0;

  public constructor(
    public readonly tenant: string,
    now: number,
  ) {
    this.sampledAt = now;
  }

  /** Counts a request that is or is not permitted, from which the demand is estimated. */
  public recordArrival(): void {
    this.arrivals += 1;
  }

  /** Takes one request from the grant; false if none is left. */
  public tryTake(now: number): boolean {
    this.expire(now);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns one request that did not run, unless the broker may have passed it on since. */
  public giveBack(now: number): void {
    this.expire(now);
    this.tokens = Math.min(this.ceiling, this.tokens + 1);
  }

  public isDenied(now: number): boolean {
    return now < this.deniedUntil;
  }

  /** Whether the grant lasts less long than the demand suggests. */
  public isLow(now: number): boolean {
    if (this.isDenied(now)) return false;
    const target = this.targetCount();
    return target > 0 && this.tokens * 2 < target;
  }

  /** Whether there is anything to renew. */
  public isActive(now: number): boolean {
    this.expire(now);
    return this.tokens > 0;
  }

  /** What to ask the broker for, with `waiting` requests that wait for the answer; undefined for nothing. */
  public takeNeed(waiting: number, now: number): AllotmentNeed | undefined {
    this.expire(now);
    this.sampleRate(now);
    const target = this.targetCount();
    // Up to twice the target is kept, since a steady demand comes at random intervals.
    const surplus = this.tokens > 2 * target ? this.tokens - target : 0;
    this.tokens -= surplus;
    this.ceiling = this.tokens;
    this.unspentWhenAsked = this.tokens;
    const isDenied = this.isDenied(now);
    const needed = isDenied ? 0 : waiting;
    const ahead = isDenied ? 0 : Math.max(0, target - this.tokens);
    if (this.tokens + needed + ahead + surplus === 0) return undefined;
    return [this.tenant, this.tokens, needed, ahead, surplus];
  }

  /** Applies the broker's answer to the last need; the grant lasts until `expiresAt`. */
  public applyGrant(
    [, total, retryMilliseconds]: AllotmentGrant,
    expiresAt: number,
    now: number,
  ): void {
    this.expire(now);
    const difference = total - this.unspentWhenAsked;
    this.tokens = difference >= 0 ? this.tokens + difference : Math.min(this.tokens, total);
    this.ceiling = total;
    this.expiresAt = expiresAt;
    if (retryMilliseconds > 0) this.deniedUntil = now + retryMilliseconds;
  }

  /** Drops the grant, for example because the broker that gave it is no longer asked. */
  public drop(): void {
    this.tokens = 0;
    this.ceiling = 0;
    this.unspentWhenAsked = 0;
    this.deniedUntil = -Infinity;
  }

  private targetCount(): number {
    if (this.requestsPerSecond < minimumAheadPerSecond) return 0;
    const count = (this.requestsPerSecond * aheadMilliseconds) / millisecondsPerSecond;
    return Math.min(maximumAhead, Math.ceil(count));
  }

  private sampleRate(now: number): void {
    const elapsed = now - this.sampledAt;
    if (elapsed < rateSampleMilliseconds) return;
    const sample = (this.arrivals * millisecondsPerSecond) / elapsed;
    // A long pause says more about the present rate than the samples before it.
    const weight = 1 - 2 ** (-elapsed / (2 * rateSampleMilliseconds));
    this.requestsPerSecond += (sample - this.requestsPerSecond) * weight;
    this.arrivals = 0;
    this.sampledAt = now;
  }

  private expire(now: number): void {
    if (now < this.expiresAt) return;
    this.tokens = 0;
    this.ceiling = 0;
  }
}
