import { maximumWitnesses } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import { MemberState } from '../messages/member.js';
import type { MemberRecord } from '../messages/member.js';
import type { HomeSettings } from './home-settings.js';
import { inRankOrder } from './key-hash.js';

/** What the homes need to know of the members. */
export class MemberDirectory {
  private readonly byServer = new Map<string, MemberRecord>();
  /** Servers in availability zones that this node's zone can't reach. */
  private unreachable: ReadonlySet<string> = new Set();
  private readonly ranked = new Map<string, readonly MemberRecord[]>();
  /** Choices of witnesses since the last change of the members; each looks at all members. */
  private readonly witnessChoices = new Map<string, readonly string[]>();
  /** Monotonic time since which a server has been dead, absent or serving another service. */
  private readonly goneSince = new Map<string, number>();

  public constructor(private readonly settings: HomeSettings) {}

  public update(members: readonly MemberRecord[], unreachable: ReadonlySet<string>): void {
    this.unreachable = unreachable;
    this.byServer.clear();
    this.ranked.clear();
    this.witnessChoices.clear();
    for (const member of members) this.byServer.set(member.server, member);
  }

  public get(server: string): MemberRecord | undefined {
    return this.byServer.get(server);
  }

  /** Servers that may become homes of a service, in rank order. */
  public eligible(service: string): readonly MemberRecord[] {
    let ranked = this.ranked.get(service);
    if (ranked === undefined) {
      const live = [...this.byServer.values()].filter(
        (member) => member.service === service && this.isCandidate(member),
      );
      ranked = inRankOrder(service, live);
      this.ranked.set(service, ranked);
    }
    return ranked;
  }

  /** Whether the server's availability zone does not answer; its members are not known to be dead. */
  public isUnreachable(server: string): boolean {
    return this.unreachable.has(server);
  }

  /** Whether a home has to be replaced. Absence counts only after a while, because lists may be incomplete. */
  public isGoneHome(home: ServerIncarnation, service: string, monotonic: number): boolean {
    const { server } = home;
    const member = this.byServer.get(server);
    // The end of an earlier life says nothing of the one that the table names.
    const hasEnded = member !== undefined && isDead(member);
    if (hasEnded && member.incarnation >= home.incarnation) return true;
    const isAway = hasEnded || member?.service !== service;
    return this.hasLasted(
      `${service}/${server}`,
      isAway,
      this.settings.absentMilliseconds,
      monotonic,
    );
  }

  /** Whether a witness has been gone for longer than a restart takes, or left for good. */
  public isGoneWitness(server: string, monotonic: number): boolean {
    const member = this.byServer.get(server);
    if (member?.state === MemberState.Left) return true;
    const isAway = member === undefined || isDead(member);
    return this.hasLasted(server, isAway, this.settings.witnessReplaceMilliseconds, monotonic);
  }

  /**
   * Chooses an odd number of witnesses, at most five: spread over availability zones, with the
   * service's own nodes before others of its regions. Witnesses to keep come first.
   */
  public chooseWitnesses(service: string, kept: readonly string[]): readonly string[] {
    const name = [service, ...kept].join('\u0000');
    const known = this.witnessChoices.get(name);
    if (known !== undefined) return known;
    const regions = new Set(this.eligible(service).map(({ region }) => region));
    const candidates = inRankOrder(
      service,
      [...this.byServer.values()].filter(
        (member) =>
          this.isCandidate(member) && regions.has(member.region) && !kept.includes(member.server),
      ),
    );
    const chosen = kept.flatMap((server) => this.byServer.get(server) ?? []);
    while (chosen.length < maximumWitnesses) {
      const next = bestWitness(candidates, chosen, service);
      if (next === undefined) break;
      candidates.splice(candidates.indexOf(next), 1);
      chosen.push(next);
    }
    if (chosen.length % 2 === 0) chosen.pop();
    const servers = chosen.map(({ server }) => server);
    this.witnessChoices.set(name, servers);
    return servers;
  }

  private isCandidate(member: MemberRecord): boolean {
    return isLive(member) && !this.unreachable.has(member.server);
  }

  private hasLasted(
    name: string,
    isAway: boolean,
    milliseconds: number,
    monotonic: number,
  ): boolean {
    if (!isAway) {
      this.goneSince.delete(name);
      return false;
    }
    const since = this.goneSince.get(name) ?? monotonic;
    this.goneSince.set(name, since);
    return monotonic >= since + milliseconds;
  }
}

function isLive(member: MemberRecord): boolean {
  return member.state === MemberState.Serving || member.state === MemberState.Warming;
}

function isDead(member: MemberRecord): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left;
}

/** The candidate in the zone with the fewest chosen; own nodes and then rank decide within a zone. */
function bestWitness(
  candidates: readonly MemberRecord[],
  chosen: readonly MemberRecord[],
  service: string,
): MemberRecord | undefined {
  let best: { readonly cost: number; readonly member: MemberRecord } | undefined;
  for (const member of candidates) {
    const inZone = chosen.filter(
      ({ availabilityZone }) => availabilityZone === member.availabilityZone,
    ).length;
    const cost = 2 * inZone + (member.service === service ? 0 : 1);
    if (best === undefined || cost < best.cost) best = { cost, member };
  }
  return best?.member;
}
