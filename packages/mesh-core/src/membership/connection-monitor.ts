import { RoundTripEstimator } from './round-trip-estimator.js';

/** Time that a connection may be quiet before it is checked while nothing is expected on it. */
const idleCheckIntervalMilliseconds = 3_000;
/** The same while answers are expected and the requests are known to have arrived. */
const busyCheckIntervalMilliseconds = 400;
/** Time after a request without any reply after which it is checked whether the request has arrived. */
const requestCheckDelayMilliseconds = 60;
/** Time after a check without any received data after which the connection is closed. */
const idleCloseTimeoutMilliseconds = 3_000;
const busyCloseTimeoutMilliseconds = 1_200;
/** Bounds on the time within which a check is expected to be answered. */
const minimumCheckMilliseconds = 100;
const maximumCheckMilliseconds = 1_200;
/** Used before the first round trip on the connection. */
const initialCheckMilliseconds = 200;
/** Assumed speed of the slowest link. The answer to a check comes after everything sent before the check. */
const minimumBytesPerMillisecond = 250;

/** What to do about a connection. */
export const ConnectionAction = {
  Check: 'check',
  Close: 'close',
  None: 'none',
  Replace: 'replace',
} as const;
export type ConnectionAction = (typeof ConnectionAction)[keyof typeof ConnectionAction];

/**
 * Decides from the traffic of a connection whether it still works. A connection can fail silently, in one direction
 * or in both, and only an answer to something that was sent on it shows that both directions work.
 */
export class ConnectionMonitor {
  private readonly roundTrips = new RoundTripEstimator();
  private lastReceivedAt: number;
  /** Times of the checks that have not been answered. */
  private readonly checksSentAt: number[] = [];
  /** The earliest request that is not known to have arrived. */
  private unconfirmedSince: number | undefined;
  private unconfirmedBytes = 0;
  private expectedReplies = 0;
  private isCheckRequested = false;
  /** Time at which the overdue check was noticed, or the last of several if no replacement has succeeded. */
  private suspectedAt: number | undefined;

  public constructor(now: number) {
    this.lastReceivedAt = now;
  }

  /** Whether a check is overdue, so that requests sent on the connection may not have arrived. */
  public get isSilent(): boolean {
    return this.suspectedAt !== undefined;
  }

  public quietMilliseconds(now: number): number {
    return now - this.lastReceivedAt;
  }

  public onSent(bytes: number): void {
    this.unconfirmedBytes += bytes;
  }

  /** A request was sent; a reply is expected unless it is cancelled. */
  public onRequestSent(now: number): void {
    this.expectedReplies += 1;
    this.unconfirmedSince ??= now;
  }

  public onRequestCancelled(): void {
    this.expectedReplies = Math.max(0, this.expectedReplies - 1);
  }

  public onReceived(now: number): void {
    this.lastReceivedAt = now;
  }

  /** A reply shows that its request has arrived; later requests may not have. */
  public onReplyReceived(now: number): void {
    this.expectedReplies = Math.max(0, this.expectedReplies - 1);
    this.unconfirmedSince = this.expectedReplies > 0 ? now : undefined;
  }

  public onCheckSent(now: number): void {
    this.checksSentAt.push(now);
    this.isCheckRequested = false;
    this.unconfirmedSince = undefined;
  }

  public onCheckAnswered(now: number): void {
    const sentAt = this.checksSentAt.shift();
    if (sentAt === undefined) return;
    this.roundTrips.addSample(now - sentAt);
    this.suspectedAt = undefined;
    if (this.checksSentAt.length === 0) this.unconfirmedBytes = 0;
  }

  /** Checks the connection at the next opportunity, because another one was found to be silent. */
  public requestCheck(): void {
    if (this.checksSentAt.length === 0) this.isCheckRequested = true;
  }

  /**
   * The action due now. `hasStalled` tells that this process did not run for a while, so that answers may have
   * arrived without having been read.
   */
  public nextAction(now: number, hasStalled: boolean): ConnectionAction {
    const [sentAt] = this.checksSentAt;
    if (sentAt === undefined)
      return this.isCheckDue(now) ? ConnectionAction.Check : ConnectionAction.None;
    if (hasStalled) return ConnectionAction.None;
    const isBusy = this.expectedReplies > 0;
    const closeTimeout = isBusy ? busyCloseTimeoutMilliseconds : idleCloseTimeoutMilliseconds;
    if (now - Math.max(sentAt, this.lastReceivedAt) > closeTimeout) return ConnectionAction.Close;
    const isReplacementDue =
      this.suspectedAt === undefined
        ? now - sentAt > this.checkTimeout(sentAt)
        : now - this.suspectedAt > maximumCheckMilliseconds;
    if (!isReplacementDue) return ConnectionAction.None;
    this.suspectedAt = now;
    return ConnectionAction.Replace;
  }

  private isCheckDue(now: number): boolean {
    if (this.isCheckRequested) return true;
    if (this.unconfirmedSince !== undefined)
      return now - this.unconfirmedSince >= requestCheckDelayMilliseconds;
    const interval =
      this.expectedReplies > 0 ? busyCheckIntervalMilliseconds : idleCheckIntervalMilliseconds;
    return now - this.lastReceivedAt >= interval;
  }

  /** Time within which the answer to the check is expected. */
  private checkTimeout(sentAt: number): number {
    // Data that was received since shows that one direction works; the answer may be queued behind more of it.
    if (this.lastReceivedAt > sentAt) return maximumCheckMilliseconds;
    const expected = this.roundTrips.expectedMilliseconds ?? initialCheckMilliseconds;
    const transferMilliseconds = this.unconfirmedBytes / minimumBytesPerMillisecond;
    return Math.min(
      maximumCheckMilliseconds,
      Math.max(minimumCheckMilliseconds, expected) + transferMilliseconds,
    );
  }
}
