import type { MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { nextInteger, type RandomSource } from '../shared/random-source.js';
import { hashString } from '../shared/string-hash.js';
import { bridgeWeight, isLive, stampHash, supersedes, versionOf } from './member-order.js';
import { ZoneMembers, type MemberEntry } from './zone-members.js';

/** Ended members are remembered this long, so that stale records of them don't bring them back. */
const endedRetentionMilliseconds = 7_200_000;

/** All known members, by server and by availability zone. */
export class MemberTable {
  public readonly zones = new Map<string, ZoneMembers>();
  /** Zones that the bridges of this node's zone can't reach. */
  public unreachable: ReadonlySet<string> = new Set();
  private readonly entries = new Map<string, MemberEntry>();
  private readonly ended = new Set<MemberEntry>();
  /** Zone, region and service names recur in every record, so each is kept once. */
  private readonly names = new Map<string, string>();

  public get size(): number {
    return this.entries.size;
  }

  public get(server: string): MemberEntry | undefined {
    return this.entries.get(server);
  }

  public zone(name: string): ZoneMembers | undefined {
    return this.zones.get(name);
  }

  public isReachable(zone: ZoneMembers): boolean {
    return !this.unreachable.has(zone.name);
  }

  public records(): readonly MemberRecord[] {
    return Array.from(this.entries.values(), (entry) => entry.record);
  }

  /** Takes a record if it is newer than the known one; returns the entry and what it replaced. */
  public apply(
    record: MemberRecord,
    now: ClockReading,
  ): { readonly entry: MemberEntry; readonly previous: MemberRecord | undefined } | undefined {
    const known = this.entries.get(record.server);
    if (known === undefined) {
      return { entry: this.insert(this.intern(record), now), previous: undefined };
    }
    if (!supersedes(versionOf(record), versionOf(known.record))) return undefined;
    const previous = known.record;
    return { entry: this.replace(known, this.intern(record), now), previous };
  }

  /** A random live member of a zone that satisfies the condition, undefined after a few misses. */
  public pick(
    zone: ZoneMembers,
    random: RandomSource,
    accepts: (entry: MemberEntry) => boolean,
  ): MemberEntry | undefined {
    for (let tries = 0; tries < 8 && zone.live.length > 0; tries += 1) {
      const entry = zone.live[nextInteger(random, zone.live.length)];
      if (entry !== undefined && accepts(entry)) return entry;
    }
    return undefined;
  }

  /** A random member that ended and may be back, for example after a partition. */
  public pickEnded(random: RandomSource): MemberEntry | undefined {
    let skip = nextInteger(random, this.ended.size);
    for (const entry of this.ended) {
      if (skip === 0) return entry;
      skip -= 1;
    }
    return undefined;
  }

  /** Forgets members that ended long ago. */
  public forgetEnded(now: ClockReading): void {
    for (const entry of this.ended) {
      if (now.monotonic - entry.endedAt < endedRetentionMilliseconds) continue;
      this.ended.delete(entry);
      this.entries.delete(entry.record.server);
    }
  }

  private insert(record: MemberRecord, now: ClockReading): MemberEntry {
    const serverHash = hashString(record.server);
    const entry: MemberEntry = {
      record,
      serverHash,
      weight: bridgeWeight(record.availabilityZone, record.server),
      stamp: stampHash(serverHash, record),
      position: -1,
      endedAt: now.monotonic,
    };
    this.entries.set(record.server, entry);
    this.zoneOf(record).add(entry);
    if (!isLive(record)) this.ended.add(entry);
    return entry;
  }

  private replace(entry: MemberEntry, record: MemberRecord, now: ClockReading): MemberEntry {
    const zone = this.zoneOf(entry.record);
    const next = this.zoneOf(record);
    if (zone !== next) {
      zone.remove(entry);
      this.ended.delete(entry);
      return this.insert(record, now);
    }
    entry.record = record;
    zone.restamp(entry, stampHash(entry.serverHash, record));
    if (isLive(record)) {
      this.ended.delete(entry);
      if (entry.position < 0) zone.add(entry);
    } else {
      zone.remove(entry);
      entry.endedAt = now.monotonic;
      this.ended.add(entry);
    }
    return entry;
  }

  private zoneOf(record: MemberRecord): ZoneMembers {
    const known = this.zones.get(record.availabilityZone);
    if (known !== undefined) return known;
    const zone = new ZoneMembers(record.availabilityZone, record.region);
    this.zones.set(zone.name, zone);
    return zone;
  }

  private intern(record: MemberRecord): MemberRecord {
    const { availabilityZone, region, service } = record;
    return {
      ...record,
      availabilityZone: this.name(availabilityZone),
      region: this.name(region),
      service: service === undefined ? undefined : this.name(service),
    };
  }

  private name(text: string): string {
    const known = this.names.get(text);
    if (known !== undefined) return known;
    this.names.set(text, text);
    return text;
  }
}
