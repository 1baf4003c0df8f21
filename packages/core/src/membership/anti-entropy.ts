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
import { stateRank, supersedes, versionOf } from './record-version.js';
import type { MembershipContext } from './membership-context.js';
import { digestBucketCount, ZoneMembers, type MemberEntry } from './zone-members.js';

const syncIntervalMilliseconds = 10_000;
/** Interval while the last sync still delivered many records, as after a start or a partition. */
const catchUpIntervalMilliseconds = 100;
const catchUpThresholdRecords = 20;
/** A new node syncs more often at first: it must learn all zones, and each sync covers only a few. */
const startupPhaseMilliseconds = 5_000;
const startupIntervalMilliseconds = 500;
/** On average, one sync in this many is with a member of another zone. */
const syncsPerOtherZoneSync = 4;
/** Zones and buckets compared per sync; the others are left to later syncs. */
const maximumZonesPerSync = 2;
const maximumBucketsPerSync = 16;
/** Maximum number of records in one frame, which take about 100 KB. */
const maximumRecordsPerFrame = 500;
/** Rate limit of the records that a node sends in syncs: refill per second and burst. */
const sentRecordsPerSecond = 500;
const sentRecordsBurst = 2_000;

/**
 * Anti-entropy: compares the member table with that of random other nodes, so that updates lost in
 * gossip arrive eventually. A sync narrows differences down from digests of zones to digests of buckets
 * to stamps (server, incarnation, state) and then exchanges the records that differ.
 */
export class AntiEntropy {
  private nextSyncAt = 0;
  private startedAt: number | undefined;
  private recordsReceived = 0;
  private recordTokens = sentRecordsBurst;
  private tokensRefilledAt = 0;

  public constructor(private readonly context: MembershipContext) {}

  /** Starts a sync with the given node now. */
  public syncWith(to: MemberRecord): void {
    const digests: Record<string, number> = {};
    for (const zone of this.context.table.zones.values()) {
      digests[zone.name] = zone.digest;
    }
    this.context.send(to, { kind: 'member-sync', step: 'zones', digests });
  }

  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextSyncAt) return;
    this.nextSyncAt =
      now.monotonic + this.syncInterval(now) * (0.75 + 0.5 * this.context.random.next());
    this.recordsReceived = 0;
    const partner = this.pickPartner();
    if (partner !== undefined) this.syncWith(partner.record);
  }

  public onFrame(from: string, frame: MemberSyncFrame, now: ClockReading): void {
    const sender = this.context.table.get(from);
    const reply = (response: MemberSyncFrame): void => {
      const { self, send } = this.context;
      // An unknown node has no address yet; the frame goes out on the connection that it opened.
      send(sender?.record ?? { ...self().record, server: from, peerAddress: '' }, response);
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
        this.applyRecords(from, frame, reply, now);
        return;
    }
  }

  private syncInterval(now: ClockReading): number {
    this.startedAt ??= now.monotonic;
    if (this.recordsReceived >= catchUpThresholdRecords) return catchUpIntervalMilliseconds;
    const isNew = now.monotonic - this.startedAt < startupPhaseMilliseconds;
    return isNew ? startupIntervalMilliseconds : syncIntervalMilliseconds;
  }

  private compareZones(
    frame: MemberSyncZonesFrame,
    reply: (response: MemberSyncFrame) => void,
  ): void {
    const names = new Set([...Object.keys(frame.digests), ...this.context.table.zones.keys()]);
    const differing = [...names].filter(
      (name) => (frame.digests[name] ?? 0) !== (this.context.table.zone(name)?.digest ?? 0),
    );
    for (const name of shuffled(this.context.random, differing).slice(0, maximumZonesPerSync)) {
      const digests = this.context.table.zone(name)?.digests ?? new Uint32Array(digestBucketCount);
      const content = { step: 'buckets', availabilityZone: name, digests: [...digests] } as const;
      reply({ kind: 'member-sync', ...content });
    }
  }

  private compareBuckets(
    frame: MemberSyncBucketsFrame,
    reply: (response: MemberSyncFrame) => void,
  ): void {
    const zone = this.context.table.zone(frame.availabilityZone);
    const differing: number[] = [];
    for (let bucket = 0; bucket < digestBucketCount; bucket += 1) {
      if ((frame.digests[bucket] ?? 0) !== (zone?.digests[bucket] ?? 0)) differing.push(bucket);
    }
    if (differing.length === 0) return;
    const buckets = shuffled(this.context.random, differing).slice(0, maximumBucketsPerSync);
    const stamps = membersOf(zone, new Set(buckets)).map(({ record }): MemberStamp => {
      return [record.server, record.incarnation, stateRank(record.state)];
    });
    const { availabilityZone } = frame;
    reply({ kind: 'member-sync', step: 'stamps', availabilityZone, buckets, stamps });
  }

  private compareStamps(
    frame: MemberSyncStampsFrame,
    reply: (response: MemberSyncFrame) => void,
    now: ClockReading,
  ): void {
    const { table } = this.context;
    const remoteStamps = new Map(frame.stamps.map((stamp) => [stamp[0], stamp]));
    const records: MemberRecord[] = [];
    const wanted: string[] = [];
    for (const [server, incarnation, rank] of remoteStamps.values()) {
      const version = { incarnation, rank };
      const known = table.get(server)?.record;
      if (known === undefined || supersedes(version, versionOf(known))) wanted.push(server);
      else if (supersedes(versionOf(known), version)) records.push(known);
    }
    const members = membersOf(table.zone(frame.availabilityZone), new Set(frame.buckets));
    for (const { record } of members) {
      if (!remoteStamps.has(record.server)) records.push(record);
    }
    const sent = this.applyRateLimit(records, now);
    if (sent.length === 0 && wanted.length === 0) return;
    reply({ kind: 'member-sync', step: 'records', records: sent, wanted });
  }

  private applyRecords(
    from: string,
    frame: MemberSyncRecordsFrame,
    reply: (response: MemberSyncFrame) => void,
    now: ClockReading,
  ): void {
    this.recordsReceived += frame.records.length;
    if (frame.records.length >= catchUpThresholdRecords) this.nextSyncAt = now.monotonic;
    // Most other nodes already know the records of a large batch; gossiping it would flood them.
    const shouldGossip = frame.records.length < catchUpThresholdRecords;
    for (const record of frame.records) {
      this.context.applyRecord(record, { from, shouldGossip }, now);
    }
    const wanted = frame.wanted.flatMap((server) => this.context.table.get(server)?.record ?? []);
    const records = this.applyRateLimit(wanted, now);
    if (records.length > 0) reply({ kind: 'member-sync', step: 'records', records, wanted: [] });
  }

  /** Returns the records that the rate limit allows now; later syncs ask for the others again. */
  private applyRateLimit(
    records: readonly MemberRecord[],
    now: ClockReading,
  ): readonly MemberRecord[] {
    const elapsed = now.monotonic - this.tokensRefilledAt;
    this.tokensRefilledAt = now.monotonic;
    const refill = (elapsed * sentRecordsPerSecond) / 1_000;
    this.recordTokens = Math.min(sentRecordsBurst, this.recordTokens + refill);
    const allowed = Math.min(maximumRecordsPerFrame, Math.floor(this.recordTokens), records.length);
    this.recordTokens -= allowed;
    return records.slice(0, allowed);
  }

  private pickPartner(): MemberEntry | undefined {
    const { table, random, self, ownZone } = this.context;
    const otherZones = [...table.zones.values()].filter(
      (zone) => zone !== ownZone() && table.isReachable(zone),
    );
    const otherZone =
      random.next() < 1 / syncsPerOtherZoneSync ? pickRandom(random, otherZones) : undefined;
    return table.pickLive(otherZone ?? ownZone(), random, (entry) => entry !== self());
  }
}

function membersOf(
  zone: ZoneMembers | undefined,
  buckets: ReadonlySet<number>,
): readonly MemberEntry[] {
  return zone?.live.filter((entry) => buckets.has(ZoneMembers.bucketOf(entry))) ?? [];
}
