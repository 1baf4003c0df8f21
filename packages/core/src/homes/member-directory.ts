import { maximumWitnesses } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import { MemberState } from '../messages/member.js';
import type { MemberRecord } from '../messages/member.js';
import type { HomeSettings } from './home-settings.js';
import { sortByRendezvousRank } from './key-hash.js';

/** The known members, as needed to choose homes and witnesses and to detect that they are gone. */
export class MemberDirectory {
  private readonly byServer = new Map<string, MemberRecord>();
  /** Servers in availability zones that are unreachable from this node's zone. */
  private unreachable: ReadonlySet<string> = new Set();
  private readonly eligibleByService = new Map<string, readonly MemberRecord[]>();
  /** Cached until the members change, because each choice of witnesses examines all members. */
  private readonly witnessChoiceCache = new Map<string, readonly string[]>();
  /**
   * Monotonic time since which a server has been dead, absent or registered for another service.
   */
  private readonly awaySince = new Map<string, number>();

  public constructor(private readonly settings: HomeSettings) {}

  public update(members: readonly MemberRecord[], unreachable: ReadonlySet<string>): void {
    this.unreachable = unreachable;
    this.byServer.clear();
    this.eligibleByService.clear();
    this.witnessChoiceCache.clear();
    for (const member of members) this.byServer.set(member.server, member);
  }

  public get(server: string): MemberRecord | undefined {
    return this.byServer.get(server);
  }

  /** Live and reachable servers of a service in rank order: those that may become its homes. */
  public eligibleHomes(service: string): readonly MemberRecord[] {
    let ranked = this.eligibleByService.get(service);
    if (ranked === undefined) {
      const live = [...this.byServer.values()].filter(
        (member) => member.service === service && this.isCandidate(member),
      );
      ranked = sortByRendezvousRank(service, live);
      this.eligibleByService.set(service, ranked);
    }
    return ranked;
  }

  /** Whether the server's availability zone is unreachable; its members may still be alive. */
  public isUnreachable(server: string): boolean {
    return this.unreachable.has(server);
  }

  /**
   * Whether a home has to be replaced. A home that is merely absent is gone only after the absence
   * timeout, because the member list may be incomplete.
   */
  public isHomeGone(home: ServerIncarnation, service: string, monotonic: number): boolean {
    const { server } = home;
    const member = this.byServer.get(server);
    // The end of an earlier incarnation does not concern the one that the table names.
    const hasEnded = member !== undefined && isDead(member);
    if (hasEnded && member.incarnation >= home.incarnation) return true;
    const isAway = hasEnded || member?.service !== service;
    return this.hasBeenAwayFor(
      `${service}/${server}`,
      isAway,
      this.settings.absenceTimeoutMilliseconds,
      monotonic,
    );
  }

  /** Whether a witness has left the cluster, or has been gone for longer than a restart takes. */
  public isWitnessGone(server: string, monotonic: number): boolean {
    const member = this.byServer.get(server);
    if (member?.state === MemberState.Left) return true;
    const isAway = member === undefined || isDead(member);
    return this.hasBeenAwayFor(
      server,
      isAway,
      this.settings.witnessReplacementMilliseconds,
      monotonic,
    );
  }

  /**
   * Chooses an odd number of witnesses, at most five. They are spread across availability zones, with
   * nodes of the service preferred to other nodes in its regions. The `kept` witnesses come first.
   */
  public chooseWitnesses(service: string, kept: readonly string[]): readonly string[] {
    const cacheKey = [service, ...kept].join('\u0000');
    const known = this.witnessChoiceCache.get(cacheKey);
    if (known !== undefined) return known;
    const regions = new Set(this.eligibleHomes(service).map(({ region }) => region));
    const candidates = sortByRendezvousRank(
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
    this.witnessChoiceCache.set(cacheKey, servers);
    return servers;
  }

  private isCandidate(member: MemberRecord): boolean {
    return isLive(member) && !this.unreachable.has(member.server);
  }

  private hasBeenAwayFor(
    absenceKey: string,
    isAway: boolean,
    milliseconds: number,
    monotonic: number,
  ): boolean {
    if (!isAway) {
      this.awaySince.delete(absenceKey);
      return false;
    }
    const since = this.awaySince.get(absenceKey) ?? monotonic;
    this.awaySince.set(absenceKey, since);
    return monotonic >= since + milliseconds;
  }
}

function isLive(member: MemberRecord): boolean {
  return member.state === MemberState.Serving || member.state === MemberState.Warming;
}

function isDead(member: MemberRecord): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left;
}

/**
 * Returns a candidate from a zone with the fewest chosen witnesses. Among those, nodes of the service
 * come first, and then the rank order of the candidates decides.
 */
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
