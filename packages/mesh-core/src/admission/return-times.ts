import type { RandomSource } from '@peridotspring/core';

const minimumMilliseconds = 50;
/** Time told where no server could be asked: it may be back at any moment, however long it has been away. */
const unavailableMilliseconds = 1_000;
/** Longest time that a caller is told: beyond it, what is known of the load says nothing. */
const maximumMilliseconds = 5_000;
/** An overload is over once no request to the service has been refused for this long. */
const overloadGapMilliseconds = 2_000;
/** An overload is taken to last this many times as long again, so that most callers that return find room. */
const lastedFactor = 2;
/** Largest random part of the time, as a share. It spreads out the callers that were refused at the same time. */
const randomShare = 0.5;

interface Overload {
  readonly since: number;
  lastRefusalAt: number;
}

/**
 * Decides when a refused caller should return: when there will be room for it. The gates tell how long their queues are,
 * which says nothing about the requests that arrive meanwhile. Overloads last for very different times, so one that has
 * lasted for some time is expected to last about as long again; callers that return earlier would be refused once more.
 */
export class ReturnTimes {
  private readonly overloads = new Map<string, Overload>();

  public constructor(private readonly random: RandomSource) {}

  /**
   * Records a refusal for lack of room, and returns after how many milliseconds the caller should return.
   *
   * @param expectedMilliseconds shortest time until an answer that a gate has told; infinite if none has
   */
  public afterRefusal(service: string, expectedMilliseconds: number, now: number): number {
    const lasted = now - this.recordRefusal(service, now);
    const known = Number.isFinite(expectedMilliseconds)
      ? expectedMilliseconds
      : minimumMilliseconds;
    const base = Math.min(
      maximumMilliseconds,
      Math.max(minimumMilliseconds, known / 2, lasted * lastedFactor),
    );
    return this.spread(base);
  }

  /** Returns after how many milliseconds a caller should return that was refused for another reason than lack of room. */
  public afterUnavailability(): number {
    return this.spread(unavailableMilliseconds);
  }

  /** Removes the services that have not refused a request for long. */
  public tick(now: number): void {
    for (const [service, { lastRefusalAt }] of this.overloads)
      if (now - lastRefusalAt > overloadGapMilliseconds) this.overloads.delete(service);
  }

  private spread(milliseconds: number): number {
    return milliseconds * (1 + randomShare * this.random.next());
  }

  /** Returns since when requests to the service have been refused. */
  private recordRefusal(service: string, now: number): number {
    const overload = this.overloads.get(service);
    if (overload === undefined || now - overload.lastRefusalAt > overloadGapMilliseconds) {
      this.overloads.set(service, { lastRefusalAt: now, since: now });
      return now;
    }
    overload.lastRefusalAt = now;
    return overload.since;
  }
}
