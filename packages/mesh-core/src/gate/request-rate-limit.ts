/** Starts may be ahead of the rate by this time, so that short gaps between requests are not lost. */
const burstMilliseconds = 500;
/** A server that takes nothing still gets one request in this time, since only a response shows that its limit has ended. */
const maximumIntervalMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;

/** Spaces the requests to a server so that it gets no more per second than it says it takes. */
export class RequestRateLimit {
  private rate = Infinity;
  /** Interval between two starts; 0 without a limit. */
  private intervalMilliseconds = 0;
  /** Time of the next start if all starts were spaced by exactly the interval. */
  private nextStartAt = Number.NEGATIVE_INFINITY;

  /** The rate that the server takes; infinite without a limit. */
  public get requestsPerSecond(): number {
    return this.rate;
  }

  /** Sets the rate that the server takes, infinite for no limit. Returns whether it has changed. */
  public setRate(requestsPerSecond: number, now: number): boolean {
    if (requestsPerSecond === this.rate) return false;
    this.rate = requestsPerSecond;
    const interval = Math.min(
      maximumIntervalMilliseconds,
      millisecondsPerSecond / requestsPerSecond,
    );
    // Requests that were started without a limit leave nothing of the allowance for bursts.
    if (this.intervalMilliseconds === 0) this.nextStartAt = now + burstMilliseconds;
    this.intervalMilliseconds = interval;
    this.nextStartAt = Math.min(this.nextStartAt, now + burstMilliseconds + interval);
    return true;
  }

  public recordStart(now: number): void {
    this.nextStartAt = Math.max(this.nextStartAt, now) + this.intervalMilliseconds;
  }

  /** Time until the request at a position of the queue, counted from 1, may start. */
  public waitForStart(position: number, now: number): number {
    if (this.intervalMilliseconds === 0) return 0;
    const startAt = this.nextStartAt + (position - 1) * this.intervalMilliseconds;
    return Math.max(0, startAt - burstMilliseconds - now);
  }
}
