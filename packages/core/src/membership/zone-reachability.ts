import type { MemberRecord, ZoneReachability } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { MembershipLinks } from './membership-links.js';
import type { NewsSpreader } from './news-spreader.js';
import type { ZoneBridge } from './zone-bridge.js';
import type { ZoneMembers } from './zone-members.js';

/** The first bridge repeats its statement this often, for members that missed or started after it. */
const repeatMilliseconds = 30_000;

/** Keeps which zones can be reached, as one statement that the zone's bridges make. */
export class ZoneReachabilityKeeper {
  private statement: ZoneReachability = { unreachable: [], at: 0 };
  private nextRepeatAt = 0;

  public constructor(
    private readonly links: MembershipLinks,
    private readonly news: NewsSpreader,
    private readonly memberChanged: (member: MemberRecord, reachable: boolean) => void,
  ) {}

  /** States what this bridge has found out about a zone. */
  public declare(
    zone: ZoneMembers,
    isReachable: boolean,
    bridge: ZoneBridge,
    now: ClockReading,
  ): void {
    const others = this.statement.unreachable.filter((name) => name !== zone.name);
    const unreachable = isReachable ? others : [...others, zone.name];
    this.learn({ unreachable, at: Math.max(now.wall, this.statement.at + 1) }, bridge, now);
  }

  /** Takes the newest statement of a bridge and passes it on once. */
  public learn(statement: ZoneReachability, bridge: ZoneBridge, now: ClockReading): void {
    if (statement.at <= this.statement.at) return;
    const { table } = this.links;
    const before = new Set(this.statement.unreachable);
    this.statement = statement;
    table.unreachable = new Set(statement.unreachable);
    this.news.passReachability(statement);
    for (const zone of table.zones.values()) {
      const wasReachable = !before.has(zone.name);
      if (wasReachable !== table.isReachable(zone)) this.report(zone, !wasReachable);
    }
    // The other bridge may have lost links of its own while this one still hears the zone.
    for (const zone of table.zones.values()) {
      if (!table.isReachable(zone) && bridge.hasHeard(zone, now)) {
        this.declare(zone, true, bridge, now);
      }
    }
  }

  /** Repeats the statement on the first bridge. */
  public tick(isBridge: boolean, bridge: ZoneBridge, now: ClockReading): void {
    if (!isBridge || now.monotonic < this.nextRepeatAt) return;
    this.nextRepeatAt = now.monotonic + repeatMilliseconds;
    if (this.links.ownZone().bridges()[0] !== this.links.self()) return;
    const at = Math.max(now.wall, this.statement.at + 1);
    this.learn({ ...this.statement, at }, bridge, now);
  }

  private report(zone: ZoneMembers, reachable: boolean): void {
    const { name, region } = zone;
    const event = reachable ? 'zone-reachable' : 'zone-unreachable';
    this.links.report(event, { availabilityZone: name, region, members: zone.live.length });
    const { table } = this.links;
    const siblings = [...table.zones.values()].filter((other) => other.region === region);
    if (siblings.every((other) => table.isReachable(other) === reachable)) {
      this.links.report(reachable ? 'region-reachable' : 'region-unreachable', { region });
    }
    for (const entry of zone.live) {
      this.memberChanged(entry.record, reachable);
    }
  }
}
