import type { MemberRecord } from '../messages/member.js';
import { isLive } from './record-version.js';

/**
 * Buckets into which the members of a zone are hashed, one digest each. One differing member costs the
 * stamps of its bucket only: 19 members in a zone of 1,227.
 */
export const digestBucketCount = 64;
/** Bridge nodes per zone; these exchange updates with other zones. */
export const bridgeCount = 2;
/** Members with the highest bridge weight that are published as seeds; the first are the bridges. */
const rankedMemberCount = 6;

/** A member as known to this node, with derived values. */
export interface MemberEntry {
  record: MemberRecord;
  readonly serverHash: number;
  readonly bridgeWeight: number;
  /** Value that is XORed into the digests. */
  recordHash: number;
  /** Index in the zone's list of live members, -1 if the member is not live. */
  position: number;
  /** Monotonic time at which the member was found to be dead or to have left. */
  departedAt: number;
}

/** The live members of one availability zone, with digests that are updated on each change. */
export class ZoneMembers {
  public readonly live: MemberEntry[] = [];
  public readonly digests = new Uint32Array(digestBucketCount);
  /** Digest of all live members. */
  public digest = 0;
  private ranked: MemberEntry[] = [];
  private isRankedComplete = true;

  public constructor(
    public readonly name: string,
    public readonly region: string,
  ) {}

  public static bucketOf(entry: MemberEntry): number {
    return entry.serverHash % digestBucketCount;
  }

  public add(entry: MemberEntry): void {
    if (!isLive(entry.record)) return;
    this.toggleDigest(entry);
    entry.position = this.live.length;
    this.live.push(entry);
    const last = this.ranked[rankedMemberCount - 1];
    if (last === undefined || entry.bridgeWeight > last.bridgeWeight) {
      this.ranked.push(entry);
      this.ranked.sort((left, right) => right.bridgeWeight - left.bridgeWeight);
      this.ranked.length = Math.min(this.ranked.length, rankedMemberCount);
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

  /** Replaces the record hash of a member and updates the digests if the member is live. */
  public updateRecordHash(entry: MemberEntry, recordHash: number): void {
    if (entry.position >= 0) this.toggleDigest(entry);
    entry.recordHash = recordHash;
    if (entry.position >= 0) this.toggleDigest(entry);
  }

  /**
   * The live members with the highest bridge weight, in descending order; the first are the bridges.
   */
  public rankedMembers(): readonly MemberEntry[] {
    if (!this.isRankedComplete) {
      // Sorting all members is rare: it is needed only after one of the ranked members has been removed.
      this.ranked = [...this.live]
        .sort((left, right) => right.bridgeWeight - left.bridgeWeight)
        .slice(0, rankedMemberCount);
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
    this.digests[bucket] = ((this.digests[bucket] ?? 0) ^ entry.recordHash) >>> 0;
    this.digest = (this.digest ^ entry.recordHash) >>> 0;
  }
}
