import { MemberState, type MemberRecord, type ZoneReachability } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { MembershipLinks } from './membership-links.js';
import { UpdateQueue } from './update-queue.js';
import type { MemberEntry } from './zone-members.js';

/** Members that an urgent update is sent to at once by each node that learns it. */
const pushFanOut = 4;
/** Urgent updates that a node forwards per second and after a quiet time; the rest rides on pings. */
const urgentPerSecond = 3;
const urgentBurst = 20;

/** Passes news on within the own zone: on pings, and at once where seconds matter. */
export class NewsSpreader {
  /** Updates that ride on pings and acknowledgements. */
  public readonly updates = new UpdateQueue();
  private tokens = urgentBurst;
  private tokensAt = 0;

  public constructor(private readonly links: MembershipLinks) {}

  /** Whether requests may go wrong until others know: a member goes away, or is back from suspicion. */
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

  /** Passes a record on that this node has just learnt. */
  public pass(record: MemberRecord, from: string, isUrgent: boolean, now: ClockReading): void {
    this.updates.add(record, this.links.ownZone().live.length);
    const isOwn = record.server === this.links.self().record.server;
    if (!isUrgent || isOwn || !this.takeToken(now)) return;
    this.push(this.pickMembers([from, record.server]), [record]);
  }

  /** Sends the own record at once to random members and to the bridges, who tell the other zones. */
  public pushOwn(record: MemberRecord): void {
    const bridges = this.links.ownZone().bridges();
    const targets = new Set([...this.pickMembers([]), ...bridges]);
    targets.delete(this.links.self());
    this.push(targets, [record]);
  }

  public passReachability(statement: ZoneReachability): void {
    const targets = this.pickMembers([]);
    for (const { record } of targets) {
      this.links.send(record, { kind: 'member-updates', updates: [], zones: statement });
    }
  }

  private push(targets: ReadonlySet<MemberEntry>, updates: readonly MemberRecord[]): void {
    for (const { record } of targets) {
      this.links.send(record, { kind: 'member-updates', updates });
    }
  }

  private pickMembers(excluded: readonly string[]): Set<MemberEntry> {
    const { table, random, ownZone, self } = this.links;
    const own = self();
    const picked = new Set<MemberEntry>();
    for (let tries = 0; tries < pushFanOut; tries += 1) {
      const entry = table.pick(
        ownZone(),
        random,
        (other) => other !== own && !picked.has(other) && !excluded.includes(other.record.server),
      );
      if (entry !== undefined) picked.add(entry);
    }
    return picked;
  }

  private takeToken(now: ClockReading): boolean {
    const refill = ((now.monotonic - this.tokensAt) * urgentPerSecond) / 1_000;
    this.tokensAt = now.monotonic;
    this.tokens = Math.min(urgentBurst, this.tokens + refill);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
