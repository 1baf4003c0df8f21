import type { KeyedRequestFrame } from '../messages/frames.js';
import type { HomeAssignment } from '../messages/home-table.js';
import type { TenureBounds } from './key-rules.js';

/** A request that waits until its range can be served or has gone elsewhere. */
export interface HeldRequest {
  readonly from: string;
  readonly frame: KeyedRequestFrame;
  readonly heldAt: number;
}

/** One range for the time that this node is its home without a break. */
export class RangeTenure {
  public readonly since: number;
  public readonly transfer: string | undefined;
  /** A majority of every quorum has accepted the table that gave this range. */
  public isActivated = false;
  /** False from the start of a hand-over. */
  public isAccepting = true;
  public bounds: TenureBounds = { cutoff: undefined, voidUntil: undefined };
  public held: HeldRequest[] = [];
  /** Monotonic end of the lease. */
  private leaseUntil = Number.NEGATIVE_INFINITY;

  public constructor(
    public readonly scope: string,
    public readonly range: number,
    assignment: HomeAssignment,
  ) {
    this.since = assignment.since;
    this.transfer = assignment.transfer;
  }

  /** A lease never gets shorter: promises for an earlier table that named this home still hold. */
  public extendLease(until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until);
  }

  public hasLease(monotonic: number): boolean {
    return this.isActivated && monotonic < this.leaseUntil;
  }

  /** Whether new keys may be accepted now. */
  public mayAccept(monotonic: number): boolean {
    return this.isAccepting && this.hasLease(monotonic);
  }

  /** Makes attempts void that entered until this wall time and have no record. */
  public raiseVoidUntil(wall: number): void {
    const { cutoff, voidUntil } = this.bounds;
    this.bounds = { cutoff, voidUntil: Math.max(voidUntil ?? wall, wall) };
  }

  public takeHeld(): readonly HeldRequest[] {
    const { held } = this;
    this.held = [];
    return held;
  }
}

/** The name under which a range's records are kept. */
export function scopeOf(service: string, range: number): string {
  return `${service}/${range}`;
}
