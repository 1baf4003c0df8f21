import type { NodeIdentity } from '../messages/identity.js';
import { MemberState, type MemberRecord, type UpstreamAnnouncement } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { versionOf } from './record-version.js';
import type { MembershipContext } from './membership-context.js';
import type { GossipDisseminator } from './gossip-disseminator.js';

/** Makes all changes to this node's own record and refutes records of it made by other nodes. */
export class OwnRecordManager {
  public constructor(
    private readonly context: MembershipContext,
    private readonly disseminator: GossipDisseminator,
  ) {}

  /** The initial record of a node. */
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
    const { record } = this.context.self();
    if (record.service === service && record.slots === slots) return;
    this.applyChange({ service, slots, incarnation: record.incarnation + 1 }, now);
  }

  public setDraining(isDraining: boolean, now: ClockReading): void {
    const { record } = this.context.self();
    if (isDraining && record.state === MemberState.Serving) {
      this.applyChange({ state: MemberState.Draining }, now);
    } else if (!isDraining && record.state === MemberState.Draining) {
      this.applyChange({ state: MemberState.Serving, incarnation: record.incarnation + 1 }, now);
    }
  }

  public leave(now: ClockReading): void {
    this.applyChange({ state: MemberState.Left }, now);
  }

  /**
   * Refutes a record of this node that was made elsewhere, by raising the incarnation: a record of an
   * earlier process on this server, or a false suspicion.
   */
  public refute(record: MemberRecord, from: string, now: ClockReading): void {
    const own = this.context.self().record;
    const received = versionOf(record);
    const current = versionOf(own);
    if (own.state === MemberState.Left || received.incarnation < current.incarnation) return;
    const isSuperseded =
      received.incarnation === current.incarnation && received.rank <= current.rank;
    // A suspicion ranks below draining, but must be refuted all the same: otherwise the detector
    // declares this node dead.
    if (isSuperseded && record.state !== MemberState.Suspect) return;
    this.context.count('member_suspicions_refuted');
    this.applyChange({ incarnation: record.incarnation + 1 }, now);
    const sender = this.context.table.get(from);
    if (sender === undefined) return;
    this.context.send(sender.record, {
      kind: 'member-updates',
      updates: [this.context.self().record],
    });
  }

  private applyChange(change: Partial<MemberRecord>, now: ClockReading): void {
    const record = { ...this.context.self().record, ...change };
    this.context.applyRecord(record, { from: record.server, shouldGossip: true }, now);
    this.disseminator.pushOwnRecord(record);
  }
}
