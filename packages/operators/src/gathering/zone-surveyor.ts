import type { MemberView } from '../node-view.js';
import type { MissingNode, NodeRevision } from '../operator-backend.js';
import { liveMembers } from '../questions/member-status.js';
import { revisionQuestion } from './node-question.js';
import type { PeerGatherer } from './peer-gatherer.js';
import { RemoteZoneSurvey } from './remote-zone-survey.js';
import {
  digestOf,
  tally,
  type ZoneAnswer,
  type ZoneQuestion,
  type ZoneSurvey,
} from './zone-question.js';

/** Longest deadline accepted in the question of another node. `wait` asks for less than 1 s. */
const maximumGatherDeadlineMilliseconds = 2_000;

export interface ZoneSurveyorDependencies {
  readonly gatherer: PeerGatherer;
  readonly server: string;
  readonly availabilityZone: string;
  readonly members: () => readonly MemberView[];
  /** Configuration revision in force on this node. */
  readonly revision: () => number;
  readonly random: () => number;
}

/** A revision to look for, and the availability zones to look in. */
export interface SurveyRequest {
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** The zones to survey; all zones by default. */
  readonly availabilityZones?: ReadonlySet<string> | undefined;
}

/**
 * Finds the members on which a revision is not in force. It asks each member of its own availability
 * zone directly, and one member of every other zone about that whole zone.
 */
export class ZoneSurveyor {
  public constructor(private readonly dependencies: ZoneSurveyorDependencies) {}

  /** Surveys the zones concurrently. Returns the survey of each zone by its name. */
  public async survey(request: SurveyRequest): Promise<ReadonlyMap<string, ZoneSurvey>> {
    const { revision, deadlineMilliseconds, availabilityZones } = request;
    const { gatherer, availabilityZone: ownZone, random } = this.dependencies;
    const surveys = new Map<string, ZoneSurvey>();
    const zoneSurveys = [...this.membersByZone()].map(async ([availabilityZone, members]) => {
      if (availabilityZones !== undefined && !availabilityZones.has(availabilityZone)) return;
      const servers = members.map(({ server }) => server);
      const remoteSurveyOptions = {
        revision,
        deadlineMilliseconds,
        gatherer,
        availabilityZone,
        members,
        random,
      };
      const survey =
        availabilityZone === ownZone
          ? this.surveyOwnZone(
              [...servers, ...this.peersWithoutMemberRecord()],
              revision,
              deadlineMilliseconds,
            )
          : new RemoteZoneSurvey(remoteSurveyOptions).ask();
      surveys.set(availabilityZone, await survey);
    });
    await Promise.all(zoneSurveys);
    return surveys;
  }

  /** Answers for this node's zone, covering the members known to either node. */
  public async answerQuestion(question: ZoneQuestion): Promise<ZoneAnswer> {
    const { revision, digest, servers } = question;
    const deadlineMilliseconds = Math.min(
      question.deadlineMilliseconds,
      maximumGatherDeadlineMilliseconds,
    );
    const own = this.membersByZone().get(this.dependencies.availabilityZone) ?? [];
    const known = own.map(({ server }) => server);
    if (servers === undefined && digestOf(known) !== digest) return { kind: 'members-differ' };
    const all = [...new Set([...known, ...(servers ?? [])])];
    return {
      kind: 'zone-survey',
      ...(await this.surveyOwnZone(all, revision, deadlineMilliseconds)),
    };
  }

  private async surveyOwnZone(
    servers: readonly string[],
    revision: number,
    deadlineMilliseconds: number,
  ): Promise<ZoneSurvey> {
    const { gatherer, server: ownServer } = this.dependencies;
    const own: NodeRevision = { revision: this.dependencies.revision(), server: ownServer };
    const others = servers.filter((server) => server !== ownServer);
    const options = { deadlineMilliseconds, servers: others };
    const gathered = await gatherer.gather(revisionQuestion, options);
    const lacking = [own, ...gathered.revisions].filter((node) => node.revision < revision);
    const missing: readonly MissingNode[] = gathered.missing;
    return { members: others.length + 1, lacking: tally(lacking), missing: tally(missing) };
  }

  /** Live members by zone. This node's zone is always included, even before the node has joined. */
  private membersByZone(): ReadonlyMap<string, readonly MemberView[]> {
    const zones = new Map<string, MemberView[]>([[this.dependencies.availabilityZone, []]]);
    for (const member of liveMembers(this.dependencies.members())) {
      const zone = zones.get(member.availabilityZone);
      if (zone === undefined) zones.set(member.availabilityZone, [member]);
      else zone.push(member);
    }
    return zones;
  }

  /** Servers of the transport that have no member record yet; no other survey covers them. */
  private peersWithoutMemberRecord(): readonly string[] {
    const serversWithRecord = new Set(this.dependencies.members().map(({ server }) => server));
    return this.dependencies.gatherer.servers().filter((server) => !serversWithRecord.has(server));
  }
}
