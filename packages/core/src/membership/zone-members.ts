import type { MemberRecord } from '../messages/member.js';
import { isLive } from './member-order.js';

/** Buckets of a zone's digests; a difference costs the stamps of one bucket, 19 members of 1,227. */
export const bucketCount = 64;
/** Members of a zone that exchange updates with other zones. */
export const bridgeCount = 2;
/** Highest-ranked members that are kept as seeds, the bridges first. */
const rankedCount = 6;

/** One member as this node knows it. */
export interface MemberEntry {
  record: MemberRecord;
  readonly serverHash: number;
  readonly weight: number;
  /** Contribution to the digests. */
  stamp: number;
  /** Position among the zone's live members, -1 when it is not live. */
  position: number;
  /** Monotonic time at which the member was found dead or gone. */
  endedAt: number;
}

/** The members of one availability zone, with digests that are kept up to date by each change. */
export class ZoneMembers {
  public readonly live: MemberEntry[] = [];
  public readonly digests = new Uint32Array(bucketCount);
  /** Digest of all live members. */
  public digest = 0;
  private ranked: MemberEntry[] = [];
  private isRankedComplete = true;

  public constructor(
    public readonly name: string,
    public readonly region: string,
  ) {}

  public static bucketOf(entry: MemberEntry): number {
    return entry.serverHash % bucketCount;
  }

  public add(entry: MemberEntry): void {
    if (!isLive(entry.record)) return;
    this.toggleDigest(entry);
    entry.position = this.live.length;
    this.live.push(entry);
    const last = this.ranked[rankedCount - 1];
    if (last === undefined || entry.weight > last.weight) {
      this.ranked.push(entry);
      this.ranked.sort((left, right) => right.weight - left.weight);
      this.ranked.length = Math.min(this.ranked.length, rankedCount);
    }
  }

  public remove(entry: MemberEntry): void {
    if (entry.position < 0) return;
    this.toggleDigest(entry);
    const last = this.live.pop();
    if (last !== undefined && last !== entry) {
      this.live[entry.position] = last;
      last.position = entry.position;
    }
    entry.position = -1;
    if (this.ranked.includes(entry)) this.isRankedComplete = false;
  }

  /** Changes the stamp of a live member in place. */
  public restamp(entry: MemberEntry, stamp: number): void {
    if (entry.position >= 0) this.toggleDigest(entry);
    entry.stamp = stamp;
    if (entry.position >= 0) this.toggleDigest(entry);
  }

  /** The highest-ranked live members, the bridges first. */
  public rankedMembers(): readonly MemberEntry[] {
    if (!this.isRankedComplete) {
      // Only reached after one of the few ranked members has gone.
      this.ranked = [...this.live]
        .sort((left, right) => right.weight - left.weight)
        .slice(0, rankedCount);
      this.isRankedComplete = true;
    }
    return this.ranked;
  }

  public isBridge(entry: MemberEntry): boolean {
    const position = this.rankedMembers().indexOf(entry);
    return position >= 0 && position < bridgeCount;
  }

  public bridges(): readonly MemberEntry[] {
    return this.rankedMembers().slice(0, bridgeCount);
  }

  private toggleDigest(entry: MemberEntry): void {
    const bucket = ZoneMembers.bucketOf(entry);
    this.digests[bucket] = ((this.digests[bucket] ?? 0) ^ entry.stamp) >>> 0;
    this.digest = (this.digest ^ entry.stamp) >>> 0;
  }
}
