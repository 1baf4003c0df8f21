import { MemberState, type MemberRecord, type ZoneReachability } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { TokenBucket } from '../shared/token-bucket.js';
import type { MembershipContext } from './membership-context.js';
import { UpdateQueue } from './update-queue.js';
import type { MemberEntry } from './zone-members.js';

/** Members to which each node that receives a new urgent update sends it at once. */
const pushFanOut = 4;
/** Rate limit of urgent updates that a node forwards at once. Further ones are only piggybacked on pings. */
const urgentRateLimit = { burst: 20, tokensPerSecond: 3 } as const;

/** Gossips updates within the own zone: piggybacked on pings, and in frames of their own if urgent. */
export class GossipDisseminator {
  /** Updates to be piggybacked on pings and acknowledgements. */
  public readonly pendingUpdates = new UpdateQueue();
  private readonly urgentTokens = new TokenBucket(urgentRateLimit);

  public constructor(private readonly context: MembershipContext) {}

  /**
   * Whether requests may be routed wrongly until other nodes have the record: the member goes away, or is
   * live again after it was suspected or declared dead.
   */
  public isUrgent(record: MemberRecord, previous: MemberRecord | undefined): boolean {
    switch (record.state) {
      case MemberState.Draining:
      case MemberState.Left:
      case MemberState.Dead:
        return true;
      case MemberState.Serving:
      case MemberState.Warming:
        return previous?.state === MemberState.Suspect || previous?.state === MemberState.Dead;
      case MemberState.Suspect:
        return false;
    }
  }

  /** Gossips a record that is new to this node. */
  public disseminate(
    record: MemberRecord,
    from: string,
    isUrgent: boolean,
    now: ClockReading,
  ): void {
    this.pendingUpdates.add(record, this.context.ownZone().live.length);
    const isOwn = record.server === this.context.self().record.server;
    if (!isUrgent || isOwn || !this.urgentTokens.tryTake(now.monotonic)) return;
    this.push(this.pickMembers([from, record.server]), [record]);
  }

  /**
   * Sends the own record at once to random members and to the bridges, which send it to other zones.
   */
  public pushOwnRecord(record: MemberRecord): void {
    const bridges = this.context.ownZone().bridges();
    const targets = new Set([...this.pickMembers([]), ...bridges]);
    targets.delete(this.context.self());
    this.push(targets, [record]);
  }

  /** Sends the reachability of zones at once to random members of the own zone. */
  public pushReachability(reachability: ZoneReachability): void {
    const targets = this.pickMembers([]);
    for (const { record } of targets) {
      this.context.send(record, { kind: 'member-updates', updates: [], zones: reachability });
    }
  }

  private push(targets: ReadonlySet<MemberEntry>, updates: readonly MemberRecord[]): void {
    for (const { record } of targets) {
      this.context.send(record, { kind: 'member-updates', updates });
    }
  }

  private pickMembers(excluded: readonly string[]): Set<MemberEntry> {
    const { table, random, ownZone, self } = this.context;
    const own = self();
    const picked = new Set<MemberEntry>();
    for (let tries = 0; tries < pushFanOut; tries += 1) {
      const entry = table.pickLive(
        ownZone(),
        random,
        (other) => other !== own && !picked.has(other) && !excluded.includes(other.record.server),
      );
      if (entry !== undefined) picked.add(entry);
    }
    return picked;
  }
}
