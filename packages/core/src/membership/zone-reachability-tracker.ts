import type { MemberRecord, ZoneReachability } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { MembershipContext } from './membership-context.js';
import type { GossipDisseminator } from './gossip-disseminator.js';
import type { ZoneBridge } from './zone-bridge.js';
import type { ZoneMembers } from './zone-members.js';

/** Interval at which the first bridge republishes, for members that missed the last one or are new. */
const republishIntervalMilliseconds = 30_000;

/**
 * Tracks which zones are reachable. The bridges of a zone publish this to its members as one
 * `ZoneReachability`; the latest one replaces all earlier ones.
 */
export class ZoneReachabilityTracker {
  private current: ZoneReachability = { unreachable: [], at: 0 };
  private nextRepublishAt = 0;

  public constructor(
    private readonly context: MembershipContext,
    private readonly disseminator: GossipDisseminator,
    private readonly onMemberChanged: (member: MemberRecord, reachable: boolean) => void,
  ) {}

  /** Publishes, on a bridge, that a zone has become reachable or unreachable. */
  public setReachable(
    zone: ZoneMembers,
    isReachable: boolean,
    bridge: ZoneBridge,
    now: ClockReading,
  ): void {
    const otherUnreachable = this.current.unreachable.filter((name) => name !== zone.name);
    const unreachable = isReachable ? otherUnreachable : [...otherUnreachable, zone.name];
    this.apply({ unreachable, at: Math.max(now.wall, this.current.at + 1) }, bridge, now);
  }

  /**
   * Applies a list of unreachable zones that is newer than the current one, and forwards it once. Ignores
   * one that is older or already known.
   */
  public apply(reachability: ZoneReachability, bridge: ZoneBridge, now: ClockReading): void {
    if (reachability.at <= this.current.at) return;
    const { table } = this.context;
    const before = new Set(this.current.unreachable);
    this.current = reachability;
    table.unreachableZones = new Set(reachability.unreachable);
    this.disseminator.pushReachability(reachability);
    for (const zone of table.zones.values()) {
      const wasReachable = !before.has(zone.name);
      if (wasReachable !== table.isReachable(zone)) this.publishChange(zone, !wasReachable);
    }
    // The other bridge may have lost only its own connections while the zone still responds to this one.
    for (const zone of table.zones.values()) {
      if (!table.isReachable(zone) && bridge.hasRecentResponse(zone, now)) {
        this.setReachable(zone, true, bridge, now);
      }
    }
  }

  /** Republishes the current reachability on the first bridge. */
  public tick(isBridge: boolean, bridge: ZoneBridge, now: ClockReading): void {
    if (!isBridge || now.monotonic < this.nextRepublishAt) return;
    this.nextRepublishAt = now.monotonic + republishIntervalMilliseconds;
    if (this.context.ownZone().bridges()[0] !== this.context.self()) return;
    const at = Math.max(now.wall, this.current.at + 1);
    this.apply({ ...this.current, at }, bridge, now);
  }

  private publishChange(zone: ZoneMembers, isReachable: boolean): void {
    const { name, region } = zone;
    const event = isReachable ? 'zone-reachable' : 'zone-unreachable';
    this.context.logEvent(event, { availabilityZone: name, region, members: zone.live.length });
    const { table } = this.context;
    const regionZones = [...table.zones.values()].filter((other) => other.region === region);
    if (regionZones.every((other) => table.isReachable(other) === isReachable)) {
      this.context.logEvent(isReachable ? 'region-reachable' : 'region-unreachable', { region });
    }
    for (const entry of zone.live) {
      this.onMemberChanged(entry.record, isReachable);
    }
  }
}
