import type {
  MemberStamp,
  MemberSyncBucketsFrame,
  MemberSyncFrame,
  MemberSyncRecordsFrame,
  MemberSyncStampsFrame,
  MemberSyncZonesFrame,
} from '../messages/frames.js';
import type { MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { pickRandom, shuffled } from '../shared/random-source.js';
import { stateRank, supersedes, versionOf } from './member-order.js';
import type { MembershipLinks } from './membership-links.js';
import { bucketCount, ZoneMembers, type MemberEntry } from './zone-members.js';

const intervalMilliseconds = 10_000;
/** Interval while the last comparison still brought many records, as after a start or a partition. */
const catchUpIntervalMilliseconds = 100;
const catchUpRecords = 20;
/** A new node compares often at first: each comparison examines few zones, and it must know all. */
const startMilliseconds = 5_000;
const startIntervalMilliseconds = 500;
/** One comparison in this many is with a member of another zone. */
const otherZoneEvery = 4;
/** Zones and buckets examined per comparison; the rest is left to the next. */
const maximumZones = 2;
const maximumBuckets = 16;
/** Records in one frame, about 100 KB. */
const maximumRecords = 500;
/** Records that a node sends per second to nodes that catch up, and at once after a quiet time. */
const recordsPerSecond = 500;
const recordBurst = 2_000;

/** Compares members with random other nodes, so that updates lost on the way arrive in the end. */
export class MemberComparison {
  private nextAt = 0;
  private startedAt: number | undefined;
  private recordsReceived = 0;
  private recordTokens = recordBurst;
  private tokensAt = 0;

  public constructor(private readonly links: MembershipLinks) {}

  /** Compares with the given node now. */
  public start(to: MemberRecord): void {
    const digests: Record<string, number> = {};
    for (const zone of this.links.table.zones.values()) {
      digests[zone.name] = zone.digest;
    }
    this.links.send(to, { kind: 'member-sync', step: 'zones', digests });
  }

  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextAt) return;
    this.nextAt = now.monotonic + this.interval(now) * (0.75 + 0.5 * this.links.random.next());
    this.recordsReceived = 0;
    const partner = this.pickPartner();
    if (partner !== undefined) this.start(partner.record);
  }

  public receive(from: string, frame: MemberSyncFrame, now: ClockReading): void {
    const sender = this.links.table.get(from);
    const reply = (answer: MemberSyncFrame): void => {
      const { self, send } = this.links;
      // A node that is not known yet is answered on the connection that it opened.
      send(sender?.record ?? { ...self().record, server: from, peerAddress: '' }, answer);
    };
    switch (frame.step) {
      case 'zones':
        this.compareZones(frame, reply);
        return;
      case 'buckets':
        this.compareBuckets(frame, reply);
        return;
      case 'stamps':
        this.compareStamps(frame, reply, now);
        return;
      case 'records':
        this.takeRecords(from, frame, reply, now);
        return;
    }
  }

  private interval(now: ClockReading): number {
    this.startedAt ??= now.monotonic;
    if (this.recordsReceived >= catchUpRecords) return catchUpIntervalMilliseconds;
    const isNew = now.monotonic - this.startedAt < startMilliseconds;
    return isNew ? startIntervalMilliseconds : intervalMilliseconds;
  }

  private compareZones(
    frame: MemberSyncZonesFrame,
    reply: (answer: MemberSyncFrame) => void,
  ): void {
    const names = new Set([...Object.keys(frame.digests), ...this.links.table.zones.keys()]);
    const differing = [...names].filter(
      (name) => (frame.digests[name] ?? 0) !== (this.links.table.zone(name)?.digest ?? 0),
    );
    for (const name of shuffled(this.links.random, differing).slice(0, maximumZones)) {
      const digests = this.links.table.zone(name)?.digests ?? new Uint32Array(bucketCount);
      const answer = { step: 'buckets', availabilityZone: name, digests: [...digests] } as const;
      reply({ kind: 'member-sync', ...answer });
    }
  }

  private compareBuckets(
    frame: MemberSyncBucketsFrame,
    reply: (answer: MemberSyncFrame) => void,
  ): void {
    const zone = this.links.table.zone(frame.availabilityZone);
    const differing: number[] = [];
    for (let bucket = 0; bucket < bucketCount; bucket += 1) {
      if ((frame.digests[bucket] ?? 0) !== (zone?.digests[bucket] ?? 0)) differing.push(bucket);
    }
    if (differing.length === 0) return;
    const buckets = shuffled(this.links.random, differing).slice(0, maximumBuckets);
    const stamps = membersOf(zone, new Set(buckets)).map(({ record }): MemberStamp => {
      return [record.server, record.incarnation, stateRank(record.state)];
    });
    const { availabilityZone } = frame;
    reply({ kind: 'member-sync', step: 'stamps', availabilityZone, buckets, stamps });
  }

  private compareStamps(
    frame: MemberSyncStampsFrame,
    reply: (answer: MemberSyncFrame) => void,
    now: ClockReading,
  ): void {
    const { table } = this.links;
    const theirs = new Map(frame.stamps.map((stamp) => [stamp[0], stamp]));
    const records: MemberRecord[] = [];
    const wanted: string[] = [];
    for (const [server, incarnation, rank] of theirs.values()) {
      const version = { incarnation, rank };
      const known = table.get(server)?.record;
      if (known === undefined || supersedes(version, versionOf(known))) wanted.push(server);
      else if (supersedes(versionOf(known), version)) records.push(known);
    }
    const members = membersOf(table.zone(frame.availabilityZone), new Set(frame.buckets));
    for (const { record } of members) {
      if (!theirs.has(record.server)) records.push(record);
    }
    const sent = this.limit(records, now);
    if (sent.length === 0 && wanted.length === 0) return;
    reply({ kind: 'member-sync', step: 'records', records: sent, wanted });
  }

  private takeRecords(
    from: string,
    frame: MemberSyncRecordsFrame,
    reply: (answer: MemberSyncFrame) => void,
    now: ClockReading,
  ): void {
    this.recordsReceived += frame.records.length;
    if (frame.records.length >= catchUpRecords) this.nextAt = now.monotonic;
    // Many records at once are old news to most others, who would be flooded if they were passed on.
    const isNews = frame.records.length < catchUpRecords;
    for (const record of frame.records) {
      this.links.learn(record, { from, isNews }, now);
    }
    const wanted = frame.wanted.flatMap((server) => this.links.table.get(server)?.record ?? []);
    const records = this.limit(wanted, now);
    if (records.length > 0) reply({ kind: 'member-sync', step: 'records', records, wanted: [] });
  }

  /** Keeps what may be sent now; the rest is asked for again in a later comparison. */
  private limit(records: readonly MemberRecord[], now: ClockReading): readonly MemberRecord[] {
    const elapsed = now.monotonic - this.tokensAt;
    this.tokensAt = now.monotonic;
    const refill = (elapsed * recordsPerSecond) / 1_000;
    this.recordTokens = Math.min(recordBurst, this.recordTokens + refill);
    const allowed = Math.min(maximumRecords, Math.floor(this.recordTokens), records.length);
    this.recordTokens -= allowed;
    return records.slice(0, allowed);
  }

  private pickPartner(): MemberEntry | undefined {
    const { table, random, self, ownZone } = this.links;
    const others = [...table.zones.values()].filter(
      (zone) => zone !== ownZone() && table.isReachable(zone),
    );
    const other = random.next() < 1 / otherZoneEvery ? pickRandom(random, others) : undefined;
    return table.pick(other ?? ownZone(), random, (entry) => entry !== self());
  }
}

function membersOf(
  zone: ZoneMembers | undefined,
  buckets: ReadonlySet<number>,
): readonly MemberEntry[] {
  return zone?.live.filter((entry) => buckets.has(ZoneMembers.bucketOf(entry))) ?? [];
}
