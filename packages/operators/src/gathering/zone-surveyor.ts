import type { MemberView } from '../node-view.js';
import type { MissingNode, NodeRevision } from '../operator-backend.js';
import { liveMembers } from '../questions/drained.js';
import { revisionQuestion } from './node-question.js';
import type { PeerGatherer } from './peer-gatherer.js';
import { ZoneInquiry } from './zone-inquiry.js';
import {
  digestOf,
  tally,
  type ZoneAnswer,
  type ZoneQuestion,
  type ZoneSurvey,
} from './zone-question.js';

/** Longest time that another node may ask this one to gather; a wait asks for less than 1 s. */
const maximumGatheringMilliseconds = 2_000;

/** What a surveyor needs of its node. */
export interface ZoneSurveyorParts {
  readonly gatherer: PeerGatherer;
  readonly server: string;
  readonly availabilityZone: string;
  readonly members: () => readonly MemberView[];
  /** Revision in force on this node. */
  readonly revision: () => number;
  readonly random: () => number;
}

/** Which revision to ask for, and where. */
export interface SurveyRequest {
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** Zones to ask; all of them by default. */
  readonly availabilityZones?: ReadonlySet<string> | undefined;
}

/** Finds out where a revision is not in force: in the own zone by itself, elsewhere through a member. */
export class ZoneSurveyor {
  public constructor(private readonly parts: ZoneSurveyorParts) {}

  /** Surveys the zones at the same time. */
  public async survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>> {
    const { revision, deadlineMilliseconds, availabilityZones } = request;
    const { gatherer, availabilityZone: ownZone, random } = this.parts;
    const surveys = new Map<string, ZoneSurvey>();
    const asked = [...this.membersByZone()].map(async ([availabilityZone, members]) => {
      if (availabilityZones !== undefined && !availabilityZones.has(availabilityZone)) return;
      const servers = members.map(({ server }) => server);
      const inquiry = {
        revision,
        deadlineMilliseconds,
        gatherer,
        availabilityZone,
        members,
        random,
      };
      const survey =
        availabilityZone === ownZone
          ? this.surveyOwn([...servers, ...this.unplacedPeers()], revision, deadlineMilliseconds)
          : new ZoneInquiry(inquiry).ask();
      surveys.set(availabilityZone, await survey);
    });
    await Promise.all(asked);
    return surveys;
  }

  /** Answers for the own zone: for the members that either node knows. */
  public async answer(question: ZoneQuestion): Promise<ZoneAnswer> {
    const { revision, digest, servers } = question;
    const deadline = Math.min(question.deadlineMilliseconds, maximumGatheringMilliseconds);
    const own = this.membersByZone().get(this.parts.availabilityZone) ?? [];
    const known = own.map(({ server }) => server);
    if (servers === undefined && digestOf(known) !== digest) return { kind: 'members-differ' };
    const all = [...new Set([...known, ...(servers ?? [])])];
    return { kind: 'zone-survey', ...(await this.surveyOwn(all, revision, deadline)) };
  }

  private async surveyOwn(
    servers: readonly string[],
    revision: number,
    deadlineMilliseconds: number,
  ): Promise<ZoneSurvey> {
    const { gatherer, server: ownServer } = this.parts;
    const own: NodeRevision = { revision: this.parts.revision(), server: ownServer };
    const others = servers.filter((server) => server !== ownServer);
    const options = { deadlineMilliseconds, servers: others };
    const gathered = await gatherer.gather(revisionQuestion, options);
    const lacking = [own, ...gathered.revisions].filter((node) => node.revision < revision);
    const missing: readonly MissingNode[] = gathered.missing;
    return { members: others.length + 1, lacking: tally(lacking), missing: tally(missing) };
  }

  /** Live members by zone. The own zone is there even when this node has not joined yet. */
  private membersByZone(): ReadonlyMap<string, readonly MemberView[]> {
    const zones = new Map<string, MemberView[]>([[this.parts.availabilityZone, []]]);
    for (const member of liveMembers(this.parts.members())) {
      const zone = zones.get(member.availabilityZone);
      if (zone === undefined) zones.set(member.availabilityZone, [member]);
      else zone.push(member);
    }
    return zones;
  }

  /** Nodes that the transport names without a member record; nobody else would ask them. */
  private unplacedPeers(): readonly string[] {
    const placed = new Set(this.parts.members().map(({ server }) => server));
    return this.parts.gatherer.servers().filter((server) => !placed.has(server));
  }
}
