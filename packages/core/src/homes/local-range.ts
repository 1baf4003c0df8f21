import type { KeyedRequestFrame } from '../messages/frames.js';
import type { HomeAssignment } from '../messages/home-table.js';
import type { RangeTimeBounds } from './key-rules.js';

/** A request that is queued until its range has a lease or another home. */
export interface QueuedRequest {
  readonly from: string;
  readonly frame: KeyedRequestFrame;
  readonly queuedAt: number;
}

/** A range that this node is the home of, for one uninterrupted period. */
export class LocalRange {
  /** Version of the home table since which this node has been the home. */
  public readonly since: number;
  /** The transfer that contains the key records of the earlier home; undefined after a takeover. */
  public readonly transfer: string | undefined;
  /**
   * Whether a majority of every quorum has accepted a table that assigns this range to this node.
   */
  public isActivated = false;
  /**
   * False once the range is being handed over or given up; requests with new keys are then queued.
   */
  public isAccepting = true;
  public bounds: RangeTimeBounds = { cutoff: undefined, voidUntil: undefined };
  public queuedRequests: QueuedRequest[] = [];
  /** Monotonic time at which the lease expires. */
  private leaseUntil = Number.NEGATIVE_INFINITY;

  public constructor(
    public readonly rangeId: string,
    /** Number of the range within its service. */
    public readonly rangeNumber: number,
    assignment: HomeAssignment,
  ) {
    this.since = assignment.since;
    this.transfer = assignment.transfer;
  }

  /**
   * Never shortens the lease: promises made under an earlier table that named this home remain
   * valid.
   */
  public extendLease(until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until);
  }

  public hasLease(monotonic: number): boolean {
    return this.isActivated && monotonic < this.leaseUntil;
  }

  /** Whether a request with a new key may be accepted now. */
  public canAcceptNewKeys(monotonic: number): boolean {
    return this.isAccepting && this.hasLease(monotonic);
  }

  /** Makes all attempts without a record void that their entry received up to this wall time. */
  public raiseVoidUntil(wall: number): void {
    const { cutoff, voidUntil } = this.bounds;
    this.bounds = { cutoff, voidUntil: Math.max(voidUntil ?? wall, wall) };
  }

  public takeQueued(): readonly QueuedRequest[] {
    const { queuedRequests } = this;
    this.queuedRequests = [];
    return queuedRequests;
  }
}

/** Identifies a range across services: the service and the range number. */
export function rangeIdOf(service: string, range: number): string {
  return `${service}/${range}`;
}
