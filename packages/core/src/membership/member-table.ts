import type { MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { nextInteger, type RandomSource } from '../shared/random-source.js';
import { hashString } from '../shared/string-hash.js';
import { bridgeWeight, isLive, hashRecord, supersedes, versionOf } from './record-version.js';
import { ZoneMembers, type MemberEntry } from './zone-members.js';

/** Retention of the records of departed members, so that stale records do not revive them. */
const departedRetentionMilliseconds = 7_200_000;

/** All known members, live and departed (dead or left), by server and by availability zone. */
export class MemberTable {
  public readonly zones = new Map<string, ZoneMembers>();
  /** Names of the zones that the bridges of this node's zone can't reach. */
  public unreachableZones: ReadonlySet<string> = new Set();
  private readonly entries = new Map<string, MemberEntry>();
  private readonly departed = new Set<MemberEntry>();
  /**
   * Zone, region and service names recur in all records; interning keeps one copy of each in memory.
   */
  private readonly internedNames = new Map<string, string>();

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
    return !this.unreachableZones.has(zone.name);
  }

  public records(): readonly MemberRecord[] {
    return Array.from(this.entries.values(), (entry) => entry.record);
  }

  /**
   * Stores a record if it is newer than the known one. Returns the entry and the previous record, or
   * undefined if the record was not newer.
   */
  public apply(
    record: MemberRecord,
    now: ClockReading,
  ): { readonly entry: MemberEntry; readonly previous: MemberRecord | undefined } | undefined {
    const known = this.entries.get(record.server);
    if (known === undefined) {
      return { entry: this.insert(this.internNames(record), now), previous: undefined };
    }
    if (!supersedes(versionOf(record), versionOf(known.record))) return undefined;
    const previous = known.record;
    return { entry: this.replace(known, this.internNames(record), now), previous };
  }

  /** A random live member of a zone that `accepts` admits; undefined after 8 unsuccessful tries. */
  public pickLive(
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

  /** A random departed member. */
  public pickDeparted(random: RandomSource): MemberEntry | undefined {
    let remainingSkips = nextInteger(random, this.departed.size);
    for (const entry of this.departed) {
      if (remainingSkips === 0) return entry;
      remainingSkips -= 1;
    }
    return undefined;
  }

  /** Removes departed members whose retention has expired. */
  public removeExpiredDeparted(now: ClockReading): void {
    for (const entry of this.departed) {
      if (now.monotonic - entry.departedAt < departedRetentionMilliseconds) continue;
      this.departed.delete(entry);
      this.entries.delete(entry.record.server);
    }
  }

  private insert(record: MemberRecord, now: ClockReading): MemberEntry {
    const serverHash = hashString(record.server);
    const entry: MemberEntry = {
      record,
      serverHash,
      bridgeWeight: bridgeWeight(record.availabilityZone, record.server),
      recordHash: hashRecord(serverHash, record),
      position: -1,
      departedAt: now.monotonic,
    };
    this.entries.set(record.server, entry);
    this.zoneOf(record).add(entry);
    if (!isLive(record)) this.departed.add(entry);
    return entry;
  }

  private replace(entry: MemberEntry, record: MemberRecord, now: ClockReading): MemberEntry {
    const zone = this.zoneOf(entry.record);
    const next = this.zoneOf(record);
    if (zone !== next) {
      zone.remove(entry);
      this.departed.delete(entry);
      return this.insert(record, now);
    }
    entry.record = record;
    zone.updateRecordHash(entry, hashRecord(entry.serverHash, record));
    if (isLive(record)) {
      this.departed.delete(entry);
      if (entry.position < 0) zone.add(entry);
    } else {
      zone.remove(entry);
      entry.departedAt = now.monotonic;
      this.departed.add(entry);
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

  private internNames(record: MemberRecord): MemberRecord {
    const { availabilityZone, region, service } = record;
    return {
      ...record,
      availabilityZone: this.internName(availabilityZone),
      region: this.internName(region),
      service: service === undefined ? undefined : this.internName(service),
    };
  }

  private internName(text: string): string {
    const known = this.internedNames.get(text);
    if (known !== undefined) return known;
    this.internedNames.set(text, text);
    return text;
  }
}
