import type { MemberRecord, ZoneReachability } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { MembershipLinks } from './membership-links.js';
import type { NewsSpreader } from './news-spreader.js';
import type { ZoneBridge } from './zone-bridge.js';
import type { ZoneMembers } from './zone-members.js';

/** Keeps which zones can be reached, as one fact for all members of a zone. */
export class ZoneReachabilityKeeper {
  public constructor(
    private readonly links: MembershipLinks,
    private readonly news: NewsSpreader,
    private readonly memberChanged: (member: MemberRecord, reachable: boolean) => void,
  ) {}

  /** Takes a bridge's statement about a zone if it is the newest and passes it on. */
  public learn(statement: ZoneReachability, bridge: ZoneBridge, now: ClockReading): void {
    const zone = this.links.table.zone(statement.availabilityZone);
    if (zone === undefined || zone === this.links.ownZone()) return;
    if (statement.at <= zone.reachabilityAt) return;
    zone.reachabilityAt = statement.at;
    this.news.passReachability(statement);
    const isChanged = zone.reachable !== statement.reachable;
    zone.reachable = statement.reachable;
    if (isChanged) this.report(zone);
    // The other bridge may have lost a link of its own while this one still hears the zone.
    if (!zone.reachable && bridge.hasHeard(zone, now)) {
      this.learn({ ...statement, reachable: true, at: statement.at + 1 }, bridge, now);
    }
  }

  private report(zone: ZoneMembers): void {
    const { reachable, name, region } = zone;
    const event = reachable ? 'zone-reachable' : 'zone-unreachable';
    this.links.report(event, { availabilityZone: name, region, members: zone.live.length });
    const siblings = [...this.links.table.zones.values()].filter(
      (other) => other.region === region,
    );
    if (!siblings.some((other) => other.reachable !== reachable)) {
      this.links.report(reachable ? 'region-reachable' : 'region-unreachable', { region });
    }
    for (const entry of zone.live) {
      this.memberChanged(entry.record, reachable);
    }
  }
}
