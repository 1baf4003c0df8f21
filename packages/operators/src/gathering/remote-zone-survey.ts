import type { MemberView } from '../node-view.js';
import type { PeerGatherer } from './peer-gatherer.js';
import {
  decodeZoneAnswer,
  digestOf,
  tally,
  type ZoneQuestion,
  type ZoneSurvey,
} from './zone-question.js';

/** Members of a zone that are asked in one survey. */
const maximumMembersAsked = 3;
/** Share of the deadline after which a further member is asked if none has answered. */
const askIntervalShare = 0.3;
/** Time reserved for returning the answer: two regions are 20 ms apart, and both nodes may be busy. */
const answerMarginMilliseconds = 100;
/** Largest share of the remaining time that may be reserved for that, for short deadlines. */
const maximumMarginShare = 0.25;

export interface RemoteZoneSurveyOptions {
  readonly gatherer: PeerGatherer;
  readonly availabilityZone: string;
  /** The live members of the zone that are known to this node. */
  readonly members: readonly MemberView[];
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** Returns a random number of at least 0 and less than 1. */
  readonly random: () => number;
}

/** Asks one member of another availability zone about the whole zone, and further members if it does not answer. */
export class RemoteZoneSurvey {
  private readonly servers: readonly string[];
  private readonly unaskedServers: string[];
  private readonly deadlineAt: number;
  private readonly timerCancellations: (() => void)[] = [];
  private pendingCount = 0;
  private askedCount = 0;
  private lastFailureCause = '';
  private resolve: (survey: ZoneSurvey) => void = () => undefined;

  public constructor(private readonly options: RemoteZoneSurveyOptions) {
    const { gatherer, members, deadlineMilliseconds } = options;
    this.servers = members.map(({ server }) => server);
    this.unaskedServers = selectMembersToAsk(options);
    this.deadlineAt = gatherer.clock.now() + deadlineMilliseconds;
  }

  /** Resolves with the first answer, or with all members as missing if there is none. Never rejects. */
  public ask(): Promise<ZoneSurvey> {
    const { clock } = this.options.gatherer;
    const { deadlineMilliseconds } = this.options;
    return new Promise((resolve) => {
      this.resolve = resolve;
      for (let number = 1; number < maximumMembersAsked; number += 1) {
        const delay = deadlineMilliseconds * askIntervalShare * number;
        this.timerCancellations.push(
          clock.after(delay, () => {
            this.askNextMember();
          }),
        );
      }
      this.askNextMember();
    });
  }

  private askNextMember(): void {
    const server = this.unaskedServers.shift();
    if (server === undefined) {
      if (this.pendingCount === 0) this.finishWithoutAnswer();
      return;
    }
    this.askedCount += 1;
    this.pendingCount += 1;
    void this.askMember(server, undefined);
  }

  private async askMember(server: string, servers: readonly string[] | undefined): Promise<void> {
    const { gatherer, revision } = this.options;
    const remainingMilliseconds = this.deadlineAt - gatherer.clock.now();
    const marginMilliseconds = Math.min(
      answerMarginMilliseconds,
      remainingMilliseconds * maximumMarginShare,
    );
    const question: ZoneQuestion = {
      kind: 'zone-revision',
      revision,
      deadlineMilliseconds: Math.max(0, remainingMilliseconds - marginMilliseconds),
      digest: digestOf(this.servers),
      servers,
    };
    const reply = await gatherer.exchange(server, JSON.stringify(question), remainingMilliseconds);
    const answer = reply.kind === 'answer' ? decodeZoneAnswer(reply.payload) : reply;
    if (answer.kind === 'members-differ' && servers === undefined) {
      await this.askMember(server, this.servers);
      return;
    }
    this.pendingCount -= 1;
    if (answer.kind === 'zone-survey' && answer.members >= this.servers.length) {
      this.finish(answer);
      return;
    }
    this.lastFailureCause = answer.kind === 'failed' ? answer.cause : 'malformed answer';
    this.askNextMember();
  }

  private finishWithoutAnswer(): void {
    const { availabilityZone } = this.options;
    const cause = `not asked: ${this.askedCount} members of ${availabilityZone} failed to ask for it, ${this.lastFailureCause}`;
    const missing = tally(this.servers.map((server) => ({ cause, server })));
    this.finish({ members: this.servers.length, lacking: tally([]), missing });
  }

  private finish(survey: ZoneSurvey): void {
    for (const cancel of this.timerCancellations) cancel();
    this.unaskedServers.length = 0;
    this.resolve(survey);
  }
}

/** Selects the members to ask: working ones first, each group in random order to spread the load. */
function selectMembersToAsk({ members, random }: RemoteZoneSurveyOptions): string[] {
  return members
    .map(({ server, state, reachable }) => {
      const isPreferred = reachable && (state === 'serving' || state === 'warming');
      return { server, rank: (isPreferred ? 0 : 1) + random() };
    })
    .sort((left, right) => left.rank - right.rank)
    .slice(0, maximumMembersAsked)
    .map(({ server }) => server);
}
