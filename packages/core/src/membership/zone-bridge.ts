import { MemberState, type MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { TokenBucket } from '../shared/token-bucket.js';
import type { FailureDetector } from './failure-detector.js';
import type { AntiEntropy } from './anti-entropy.js';
import type { MembershipContext } from './membership-context.js';
import { maximumUpdatesPerFrame } from './update-queue.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

const roundMilliseconds = 1_000;
/** Zones pinged per round, in rotation. With 22 zones, each bridge pings each zone every 6 s. */
const zonesPerRound = 4;
/**
 * Zones pinged in every round, in addition to the rotation, because their last ping was not
 * acknowledged. This goes on until they respond or are declared unreachable.
 */
const unacknowledgedZonesPerRound = 4;
/**
 * Consecutive unacknowledged pings, from the second on to random members, after which a zone counts as
 * unreachable.
 */
const unacknowledgedPingsUntilUnreachable = 4;
/** Updates of the own zone kept for sending to other zones; anti-entropy transfers older ones. */
const updateLogCapacity = 1_024;
/** Rate limit of urgent updates that are sent to all zones at once. */
const urgentRateLimit = { burst: 10, tokensPerSecond: 1 } as const;

interface ZoneLink {
  /** Position in the update log up to which updates have been sent to the zone. */
  logPosition: number;
  lastResponseAt: number;
  pingedAt: number | undefined;
  unacknowledgedPings: number;
}

/** On a bridge node: exchanges updates with other zones and detects whether they are reachable. */
export class ZoneBridge {
  private readonly zoneLinks = new Map<string, ZoneLink>();
  private updateLog: MemberRecord[] = [];
  /** Position of the log's first record, counted over all records ever logged. */
  private updateLogStart = 0;
  private isActive = false;
  private nextRoundAt = 0;
  private rotation: string[] = [];
  private readonly urgentTokens = new TokenBucket(urgentRateLimit);

  public constructor(
    private readonly context: MembershipContext,
    private readonly detector: FailureDetector,
    private readonly antiEntropy: AntiEntropy,
    private readonly onReachabilityChanged: (
      zone: ZoneMembers,
      isReachable: boolean,
      now: ClockReading,
    ) => void,
  ) {}

  /** Logs an update of the own zone for the other zones; sends an urgent one to them at once. */
  public onOwnZoneUpdate(record: MemberRecord, isUrgent: boolean, now: ClockReading): void {
    // A suspicion is refuted or confirmed within seconds, and other zones need only the result.
    if (!this.isActive || record.state === MemberState.Suspect) return;
    this.updateLog.push(record);
    if (this.updateLog.length > updateLogCapacity) {
      this.updateLog = this.updateLog.slice(updateLogCapacity / 2);
      this.updateLogStart += updateLogCapacity / 2;
    }
    if (!isUrgent || !this.urgentTokens.tryTake(now.monotonic)) return;
    for (const zone of this.otherZones()) {
      const bridge = this.context.table.isReachable(zone) ? this.pickBridge(zone) : undefined;
      if (bridge === undefined) continue;
      this.context.send(bridge.record, { kind: 'member-updates', updates: [record] });
    }
  }

  /** Called when a member of another zone has acknowledged a ping of this node. */
  public onResponse(zone: ZoneMembers, now: ClockReading): void {
    const link = this.zoneLinks.get(zone.name);
    if (link === undefined) return;
    link.lastResponseAt = now.monotonic;
    link.unacknowledgedPings = 0;
    if (!this.context.table.isReachable(zone)) this.onReachabilityChanged(zone, true, now);
  }

  /** Whether the zone has responded to this node within the last two rounds. */
  public hasRecentResponse(zone: ZoneMembers, now: ClockReading): boolean {
    const link = this.zoneLinks.get(zone.name);
    return link !== undefined && now.monotonic - link.lastResponseAt < roundMilliseconds * 2;
  }

  /**
   * Discards outstanding pings after this process was paused: their missing acknowledgements say nothing
   * about the zones.
   */
  public onPaused(): void {
    for (const link of this.zoneLinks.values()) {
      link.pingedAt = undefined;
      link.unacknowledgedPings = 0;
    }
  }

  public tick(isBridge: boolean, now: ClockReading): void {
    if (!isBridge) {
      this.isActive = false;
      this.zoneLinks.clear();
      this.updateLog = [];
      return;
    }
    this.isActive = true;
    if (now.monotonic < this.nextRoundAt) return;
    this.nextRoundAt = now.monotonic + roundMilliseconds;
    const zones = this.otherZones();
    const unacknowledged: ZoneMembers[] = [];
    for (const zone of zones) {
      const link = this.getOrCreateLink(zone, now);
      this.checkResponse(zone, link, now);
      if (this.context.table.isReachable(zone) && link.unacknowledgedPings > 0)
        unacknowledged.push(zone);
    }
    const targets = new Set(unacknowledged.slice(0, unacknowledgedZonesPerRound));
    for (const zone of this.nextInRotation(zones)) {
      targets.add(zone);
    }
    for (const zone of targets) {
      this.ping(zone, this.getOrCreateLink(zone, now), now);
    }
  }

  private otherZones(): readonly ZoneMembers[] {
    const own = this.context.ownZone();
    return [...this.context.table.zones.values()].filter(
      (zone) => zone !== own && zone.live.length > 0,
    );
  }

  private getOrCreateLink(zone: ZoneMembers, now: ClockReading): ZoneLink {
    const known = this.zoneLinks.get(zone.name);
    if (known !== undefined) return known;
    const logPosition = this.updateLogStart + this.updateLog.length;
    const link = {
      logPosition,
      lastResponseAt: now.monotonic,
      pingedAt: undefined,
      unacknowledgedPings: 0,
    };
    this.zoneLinks.set(zone.name, link);
    // The log has no updates from before this node became a bridge and knew the zone.
    const bridge = this.pickBridge(zone);
    if (bridge !== undefined) this.antiEntropy.syncWith(bridge.record);
    return link;
  }

  private checkResponse(zone: ZoneMembers, link: ZoneLink, now: ClockReading): void {
    if (link.pingedAt === undefined) return;
    if (link.lastResponseAt < link.pingedAt) link.unacknowledgedPings += 1;
    link.pingedAt = undefined;
    if (
      link.unacknowledgedPings < unacknowledgedPingsUntilUnreachable ||
      !this.context.table.isReachable(zone)
    )
      return;
    link.unacknowledgedPings = 0;
    this.onReachabilityChanged(zone, false, now);
  }

  private nextInRotation(zones: readonly ZoneMembers[]): readonly ZoneMembers[] {
    const byName = new Map(zones.map((zone) => [zone.name, zone]));
    const selected = new Set<ZoneMembers>();
    while (selected.size < Math.min(zonesPerRound, zones.length)) {
      if (this.rotation.length === 0) this.rotation = [...byName.keys()];
      const zone = byName.get(this.rotation.shift() ?? '');
      if (zone !== undefined) selected.add(zone);
    }
    return [...selected];
  }

  private ping(zone: ZoneMembers, link: ZoneLink, now: ClockReading): void {
    // The bridges of an unresponsive zone may be gone; any member can prove that the zone is reachable.
    const isUnresponsive = link.unacknowledgedPings > 0 || !this.context.table.isReachable(zone);
    const target = isUnresponsive
      ? this.context.table.pickLive(zone, this.context.random, () => true)
      : this.pickBridge(zone);
    if (target === undefined) return;
    this.detector.sendPing(target.record, isUnresponsive ? [] : this.takeUpdatesFor(link));
    link.pingedAt = now.monotonic;
  }

  private takeUpdatesFor(link: ZoneLink): readonly MemberRecord[] {
    const from = Math.max(0, link.logPosition - this.updateLogStart);
    const updates = this.updateLog.slice(from, from + maximumUpdatesPerFrame);
    link.logPosition = this.updateLogStart + from + updates.length;
    return updates;
  }

  private pickBridge(zone: ZoneMembers): MemberEntry | undefined {
    const bridges = zone.bridges();
    return bridges[Math.floor(this.context.random.next() * bridges.length)];
  }
}
