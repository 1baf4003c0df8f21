const initialDelayMilliseconds = 50;
const maximumDelayMilliseconds = 5_000;

/** Exponential back-off with jitter between attempts to connect to one node. */
export class DialBackoff {
  private consecutiveFailures = 0;
  private nextAttemptAt = 0;

  public constructor(private readonly random: () => number) {}

  public canDial(now: number): boolean {
    return now >= this.nextAttemptAt;
  }

  public recordFailure(now: number): void {
    const maximumWait = Math.min(
      maximumDelayMilliseconds,
      initialDelayMilliseconds * 2 ** this.consecutiveFailures,
    );
    this.consecutiveFailures += 1;
    // Between half and all of the delay, so that nodes that lost the same peer don't reconnect at the same time.
    this.nextAttemptAt = now + maximumWait * (0.5 + this.random() / 2);
  }

  public recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.nextAttemptAt = 0;
  }
}
