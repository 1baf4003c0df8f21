import type {
  AllotmentAskFrame,
  AllotmentGrant,
  AllotmentGrantFrame,
  AllotmentNeed,
} from '../messages/allotment-frames.js';
import type { AllotmentBounds } from './allotment-bounds.js';
import {
  grantMilliseconds,
  loanMilliseconds,
  minimumDenialMilliseconds,
} from './allotment-timing.js';
import { PoolBucket } from './pool-bucket.js';
import { ShareLoans } from './share-loans.js';

/** Part of the available requests that is granted ahead of need, so that no node takes the last ones in stock. */
const aheadDivisor = 8;
const maximumDenialMilliseconds = 1_000;

/** A process that has asked for requests. */
interface Holder {
  /** What is left of its grants, by tenant; undefined once they have expired. */
  readonly granted: ReadonlyMap<string, number> | undefined;
  /** When its grants expire, and after that when it is forgotten. */
  readonly expiresAt: number;
  readonly lastNumber: number;
}

const noGrants: ReadonlyMap<string, number> = new Map();

/**
 * The broker of a group of tenants: nodes lend it their shares, and it grants requests from them to nodes that need
 * them. What it has granted or may grant stays within the shares that it has been lent.
 */
export class AllotmentPool {
  private readonly loans = new ShareLoans();
  private readonly buckets = new Map<string, PoolBucket>();
  /** By node and incarnation, since a restarted process does not hold the grants of its predecessor. */
  private readonly holders = new Map<string, Holder>();
  private nextHolderExpiry = Infinity;
  /** Earlier stamps may be older than the clock shows. */
  private stampsValidFrom = 0;

  public constructor(
    private readonly group: number,
    private readonly isLeaving: () => boolean,
  ) {}

  /** Sum of the shares of all nodes that this broker has been lent. */
  public get share(): number {
    return this.loans.total;
  }

  public get lenderCount(): number {
    return this.loans.lenderCount;
  }

  /** Sets the limited tenants of the group. */
  public configure(boundsByTenant: ReadonlyMap<string, AllotmentBounds>, now: number): void {
    this.advance(now);
    for (const tenant of this.buckets.keys())
      if (!boundsByTenant.has(tenant)) this.buckets.delete(tenant);
    for (const [tenant, bounds] of boundsByTenant) {
      const bucket = this.buckets.get(tenant);
      if (bucket === undefined) this.buckets.set(tenant, new PoolBucket(bounds, now));
      else bucket.configure(bounds, this.share, now);
    }
  }

  /** Ends all loans and grants, because the clock may have missed time. */
  public reset(now: number): void {
    this.stampsValidFrom = now;
    this.changeLoans(now, () => {
      this.loans.removeExpired(Infinity);
    });
  }

  /** Handles a node's message; undefined if a later one of the node has been handled before. */
  public answer(
    node: string,
    boot: number,
    ask: AllotmentAskFrame,
    now: number,
  ): AllotmentGrantFrame | undefined {
    this.advance(now);
    const holderName = `${node}/${boot}`;
    const previous = this.holders.get(holderName);
    if (previous !== undefined && ask.number <= previous.lastNumber) return undefined;
    if (!ask.isReturning) this.acceptLoan(node, ask, now);
    const { granted, grants } = this.grant(previous?.granted ?? noGrants, ask.needs, now);
    const expiresAt = now + grantMilliseconds;
    this.holders.set(holderName, { expiresAt, granted, lastNumber: ask.number });
    this.nextHolderExpiry = Math.min(this.nextHolderExpiry, expiresAt);
    const isReturned = ask.isReturning && this.tryReturn(node, now);
    return {
      grants,
      group: this.group,
      isLeaving: this.isLeaving(),
      isReturned,
      kind: 'allotment-grant',
      number: ask.number,
      // A whole number takes half of the space.
      stamp: Math.floor(now),
    };
  }

  private acceptLoan(node: string, { shareCount, stamp }: AllotmentAskFrame, now: number): void {
    if (stamp === undefined || stamp > now || stamp < this.stampsValidFrom || shareCount < 1)
      return;
    const share = 1 / shareCount;
    // Counted from before the lender received the stamp, and so from before it lent the share.
    const expiresAt = stamp + loanMilliseconds;
    if (expiresAt <= now) return;
    if (this.loans.shareOf(node) === share) this.loans.set(node, share, expiresAt);
    else {
      this.changeLoans(now, () => {
        this.loans.set(node, share, expiresAt);
      });
    }
  }

  /** Gives a lender its share back, unless outstanding grants depend on it. */
  private tryReturn(node: string, now: number): boolean {
    const remaining = this.share - this.loans.shareOf(node);
    for (const bucket of this.buckets.values())
      if (bucket.outstanding > bucket.capacity(remaining)) return false;
    this.changeLoans(now, () => {
      this.loans.remove(node);
    });
    return true;
  }

  private grant(
    recordedByTenant: ReadonlyMap<string, number>,
    needs: readonly AllotmentNeed[],
    now: number,
  ): {
    readonly granted: ReadonlyMap<string, number>;
    readonly grants: readonly AllotmentGrant[];
  } {
    const lastingShare = this.loans.totalUntil(now + grantMilliseconds);
    const granted = new Map<string, number>();
    const grants: AllotmentGrant[] = [];
    for (const need of needs) {
      const [tenant, , needed] = need;
      const bucket = this.buckets.get(tenant);
      if (bucket === undefined || granted.has(tenant)) continue;
      bucket.advance(this.share, now);
      const recorded = recordedByTenant.get(tenant) ?? 0;
      const { kept, total } = this.grantFrom(bucket, need, recorded, lastingShare);
      const outstanding = Math.max(kept, total);
      bucket.replaceOutstanding(recorded, outstanding);
      granted.set(tenant, outstanding);
      const isDenied = total - kept < needed;
      grants.push([tenant, total, isDenied ? this.denialMilliseconds(bucket) : 0]);
    }
    for (const [tenant, recorded] of recordedByTenant) {
      if (granted.has(tenant)) continue;
      const bucket = this.buckets.get(tenant);
      bucket?.advance(this.share, now);
      bucket?.replaceOutstanding(recorded, 0);
    }
    return { granted, grants };
  }

  private grantFrom(
    bucket: PoolBucket,
    [, unspent, needed, ahead, returned]: AllotmentNeed,
    recorded: number,
    lastingShare: number,
  ): { readonly kept: number; readonly total: number } {
    const kept = Math.min(unspent, recorded);
    bucket.giveBack(Math.min(returned, recorded - kept));
    const room = Math.floor(bucket.capacity(lastingShare) - (bucket.outstanding - recorded) - kept);
    if (room <= 0) return { kept, total: Math.max(0, kept + room) };
    const available = Math.floor(bucket.tokens);
    const forNeed = Math.min(needed, available, room);
    const forLater = Math.min(
      ahead,
      Math.floor((available - forNeed) / aheadDivisor),
      room - forNeed,
    );
    bucket.take(forNeed + forLater);
    return { kept, total: kept + forNeed + forLater };
  }

  private denialMilliseconds(bucket: PoolBucket): number {
    const untilToken = bucket.millisecondsUntilToken(this.share);
    return Math.round(
      Math.min(maximumDenialMilliseconds, Math.max(minimumDenialMilliseconds, untilToken)),
    );
  }

  /** Applies in their order the ends of loans and grants until now. */
  private advance(now: number): void {
    for (;;) {
      const time = Math.min(this.loans.nextExpiry, this.nextHolderExpiry);
      if (time > now) return;
      if (this.loans.nextExpiry <= time) {
        this.changeLoans(time, () => {
          this.loans.removeExpired(time);
        });
      }
      if (this.nextHolderExpiry <= time) this.removeExpiredHolders(time);
    }
  }

  private removeExpiredHolders(time: number): void {
    this.nextHolderExpiry = Infinity;
    for (const [name, { expiresAt, granted, lastNumber }] of this.holders) {
      if (expiresAt <= time) {
        for (const [tenant, recorded] of granted ?? noGrants) {
          const bucket = this.buckets.get(tenant);
          bucket?.advance(this.share, time);
          bucket?.replaceOutstanding(recorded, 0);
        }
        this.holders.delete(name);
        // The number is kept for as long as a delayed message could renew a loan that has been returned.
        if (granted === undefined) continue;
        const forgottenAt = expiresAt + loanMilliseconds;
        this.holders.set(name, { expiresAt: forgottenAt, granted: undefined, lastNumber });
        this.nextHolderExpiry = Math.min(this.nextHolderExpiry, forgottenAt);
      } else this.nextHolderExpiry = Math.min(this.nextHolderExpiry, expiresAt);
    }
  }

  private changeLoans(now: number, change: () => void): void {
    for (const bucket of this.buckets.values()) bucket.advance(this.share, now);
    change();
    for (const bucket of this.buckets.values()) bucket.limit(this.share);
  }
}
