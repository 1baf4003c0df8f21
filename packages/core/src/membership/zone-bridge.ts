import { MemberState, type MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { FailureDetector } from './failure-detector.js';
import type { MemberComparison } from './member-comparison.js';
import type { MembershipLinks } from './membership-links.js';
import { maximumUpdatesPerFrame } from './update-queue.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

const roundMilliseconds = 1_000;
/** Zones pinged per round in turn. With 22 zones each is pinged every 6 s by either bridge. */
const zonesPerRound = 4;
/** Zones that did not answer and are pinged every round until they do or count as unreachable. */
const doubtfulZonesPerRound = 4;
/** Pings in a row, each to another member, after whose silence a zone counts as unreachable. */
const silentPings = 4;
/** Updates of the own zone that are kept for the other zones; older ones are left to comparisons. */
const logCapacity = 1_024;
/** Urgent updates sent to every zone at once, per second and after a quiet time. */
const urgentPerSecond = 1;
const urgentBurst = 10;

interface ZoneLink {
  /** Position in the log up to which the zone has been sent updates. */
  cursor: number;
  lastHeard: number;
  pingedAt: number | undefined;
  silent: number;
}

/** What a bridge does: it exchanges updates with other zones and watches whether they can be reached. */
export class ZoneBridge {
  private readonly zoneLinks = new Map<string, ZoneLink>();
  private log: MemberRecord[] = [];
  /** Position of the log's first record among all that were ever logged. */
  private logStart = 0;
  private isActive = false;
  private nextRoundAt = 0;
  private rotation: string[] = [];
  private urgentTokens = urgentBurst;
  private tokensAt = 0;

  public constructor(
    private readonly links: MembershipLinks,
    private readonly detector: FailureDetector,
    private readonly comparison: MemberComparison,
    private readonly declare: (zone: ZoneMembers, isReachable: boolean, now: ClockReading) => void,
  ) {}

  /** An update of the own zone that other zones have to learn. */
  public ownUpdate(record: MemberRecord, isUrgent: boolean, now: ClockReading): void {
    // A suspicion ends within seconds in either way, and only its end matters elsewhere.
    if (!this.isActive || record.state === MemberState.Suspect) return;
    this.log.push(record);
    if (this.log.length > logCapacity) {
      this.log = this.log.slice(logCapacity / 2);
      this.logStart += logCapacity / 2;
    }
    if (!isUrgent || !this.takeUrgentToken(now)) return;
    for (const zone of this.otherZones()) {
      const bridge = this.links.table.isReachable(zone) ? this.pickBridge(zone) : undefined;
      if (bridge === undefined) continue;
      this.links.send(bridge.record, { kind: 'member-updates', updates: [record] });
    }
  }

  /** A member of another zone answered this node. */
  public heard(zone: ZoneMembers, now: ClockReading): void {
    const link = this.zoneLinks.get(zone.name);
    if (link === undefined) return;
    link.lastHeard = now.monotonic;
    link.silent = 0;
    if (!this.links.table.isReachable(zone)) this.declare(zone, true, now);
  }

  /** Whether this node has itself heard from the zone a moment ago. */
  public hasHeard(zone: ZoneMembers, now: ClockReading): boolean {
    const link = this.zoneLinks.get(zone.name);
    return link !== undefined && now.monotonic - link.lastHeard < roundMilliseconds * 2;
  }

  /** Forgets pings that were sent before this node did not run for a time. */
  public paused(): void {
    for (const link of this.zoneLinks.values()) {
      link.pingedAt = undefined;
      link.silent = 0;
    }
  }

  public tick(isBridge: boolean, now: ClockReading): void {
    if (!isBridge) {
      this.isActive = false;
      this.zoneLinks.clear();
      this.log = [];
      return;
    }
    this.isActive = true;
    if (now.monotonic < this.nextRoundAt) return;
    this.nextRoundAt = now.monotonic + roundMilliseconds;
    const zones = this.otherZones();
    const doubtful: ZoneMembers[] = [];
    for (const zone of zones) {
      const link = this.linkOf(zone, now);
      this.checkAnswer(zone, link, now);
      if (this.links.table.isReachable(zone) && link.silent > 0) doubtful.push(zone);
    }
    const asked = new Set(doubtful.slice(0, doubtfulZonesPerRound));
    for (const zone of this.takeTurns(zones)) {
      asked.add(zone);
    }
    for (const zone of asked) {
      this.ping(zone, this.linkOf(zone, now), now);
    }
  }

  private otherZones(): readonly ZoneMembers[] {
    const own = this.links.ownZone();
    return [...this.links.table.zones.values()].filter(
      (zone) => zone !== own && zone.live.length > 0,
    );
  }

  private linkOf(zone: ZoneMembers, now: ClockReading): ZoneLink {
    const known = this.zoneLinks.get(zone.name);
    if (known !== undefined) return known;
    const cursor = this.logStart + this.log.length;
    const link = { cursor, lastHeard: now.monotonic, pingedAt: undefined, silent: 0 };
    this.zoneLinks.set(zone.name, link);
    // The log has nothing of the time before this node was a bridge and knew the zone.
    const bridge = this.pickBridge(zone);
    if (bridge !== undefined) this.comparison.start(bridge.record);
    return link;
  }

  private checkAnswer(zone: ZoneMembers, link: ZoneLink, now: ClockReading): void {
    if (link.pingedAt === undefined) return;
    if (link.lastHeard < link.pingedAt) link.silent += 1;
    link.pingedAt = undefined;
    if (link.silent < silentPings || !this.links.table.isReachable(zone)) return;
    link.silent = 0;
    this.declare(zone, false, now);
  }

  private takeTurns(zones: readonly ZoneMembers[]): readonly ZoneMembers[] {
    const byName = new Map(zones.map((zone) => [zone.name, zone]));
    const turns = new Set<ZoneMembers>();
    while (turns.size < Math.min(zonesPerRound, zones.length)) {
      if (this.rotation.length === 0) this.rotation = [...byName.keys()];
      const zone = byName.get(this.rotation.shift() ?? '');
      if (zone !== undefined) turns.add(zone);
    }
    return [...turns];
  }

  private ping(zone: ZoneMembers, link: ZoneLink, now: ClockReading): void {
    // The bridges of a silent zone may have gone; any of its members can show that it is reachable.
    const isSilent = link.silent > 0 || !this.links.table.isReachable(zone);
    const target = isSilent
      ? this.links.table.pick(zone, this.links.random, () => true)
      : this.pickBridge(zone);
    if (target === undefined) return;
    this.detector.ping(target.record, isSilent ? [] : this.takeUpdates(link));
    link.pingedAt = now.monotonic;
  }

  private takeUpdates(link: ZoneLink): readonly MemberRecord[] {
    const from = Math.max(0, link.cursor - this.logStart);
    const updates = this.log.slice(from, from + maximumUpdatesPerFrame);
    link.cursor = this.logStart + from + updates.length;
    return updates;
  }

  private pickBridge(zone: ZoneMembers): MemberEntry | undefined {
    const bridges = zone.bridges();
    return bridges[Math.floor(this.links.random.next() * bridges.length)];
  }

  private takeUrgentToken(now: ClockReading): boolean {
    const refill = ((now.monotonic - this.tokensAt) * urgentPerSecond) / 1_000;
    this.tokensAt = now.monotonic;
    this.urgentTokens = Math.min(urgentBurst, this.urgentTokens + refill);
    if (this.urgentTokens < 1) return false;
    this.urgentTokens -= 1;
    return true;
  }
}
