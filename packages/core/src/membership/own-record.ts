import type { NodeIdentity } from '../messages/identity.js';
import { MemberState, type MemberRecord, type UpstreamAnnouncement } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { versionOf } from './member-order.js';
import type { MembershipLinks } from './membership-links.js';
import type { NewsSpreader } from './news-spreader.js';

/** Makes every change of this node's own record, which nobody else may decide on. */
export class OwnRecord {
  public constructor(
    private readonly links: MembershipLinks,
    private readonly news: NewsSpreader,
  ) {}

  /** The record of a node that has just started. */
  public static initial(identity: NodeIdentity): MemberRecord {
    return {
      server: identity.server,
      incarnation: identity.incarnation,
      availabilityZone: identity.availabilityZone,
      region: identity.region,
      peerAddress: identity.peerAddress,
      service: undefined,
      slots: 0,
      state: MemberState.Serving,
      startedAt: identity.incarnation,
    };
  }

  public announce({ service, slots }: UpstreamAnnouncement, now: ClockReading): void {
    const { record } = this.links.self();
    if (record.service === service && record.slots === slots) return;
    this.change({ service, slots, incarnation: record.incarnation + 1 }, now);
  }

  public setDraining(draining: boolean, now: ClockReading): void {
    const { record } = this.links.self();
    if (draining && record.state === MemberState.Serving) {
      this.change({ state: MemberState.Draining }, now);
    } else if (!draining && record.state === MemberState.Draining) {
      this.change({ state: MemberState.Serving, incarnation: record.incarnation + 1 }, now);
    }
  }

  public leave(now: ClockReading): void {
    this.change({ state: MemberState.Left }, now);
  }

  /** Answers a record of this node that it did not make: of a former life, or a false suspicion. */
  public refute(record: MemberRecord, from: string, now: ClockReading): void {
    const own = this.links.self().record;
    const claimed = versionOf(record);
    const current = versionOf(own);
    if (own.state === MemberState.Left || claimed.incarnation < current.incarnation) return;
    const isHarmless = claimed.incarnation === current.incarnation && claimed.rank <= current.rank;
    // A suspicion has a lower rank than draining, but it ends in a death if it isn't refuted.
    if (isHarmless && record.state !== MemberState.Suspect) return;
    this.links.count('member_suspicions_refuted');
    this.change({ incarnation: record.incarnation + 1 }, now);
    const sender = this.links.table.get(from);
    if (sender === undefined) return;
    this.links.send(sender.record, { kind: 'member-updates', updates: [this.links.self().record] });
  }

  private change(change: Partial<MemberRecord>, now: ClockReading): void {
    const record = { ...this.links.self().record, ...change };
    this.links.learn(record, { from: record.server, isNews: true }, now);
    this.news.pushOwn(record);
  }
}
