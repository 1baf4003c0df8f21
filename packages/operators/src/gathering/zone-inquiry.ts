import type { MemberView } from '../node-view.js';
import type { PeerGatherer } from './peer-gatherer.js';
import {
  decodeZoneAnswer,
  digestOf,
  tally,
  type ZoneQuestion,
  type ZoneSurvey,
} from './zone-question.js';

/** Members of a zone that are tried in one inquiry. */
const maximumTries = 3;
/** Share of the deadline after which another member is tried beside one that has not answered. */
const tryInterval = 0.3;
/** Time kept for the answer's way back: two regions are 20 ms apart, and both nodes may be busy. */
const answerMarginMilliseconds = 100;
/** Largest share of the remaining time that is kept for it, for short deadlines. */
const maximumMarginShare = 0.25;

/** What an inquiry is about. */
export interface ZoneInquiryOptions {
  readonly gatherer: PeerGatherer;
  readonly availabilityZone: string;
  /** The zone's live members as this node knows them. */
  readonly members: readonly MemberView[];
  readonly revision: number;
  readonly deadlineMilliseconds: number;
  /** A number from 0 up to, without, 1. */
  readonly random: () => number;
}

/** Asks one member of an availability zone for the whole zone, and others when it does not answer. */
export class ZoneInquiry {
  private readonly servers: readonly string[];
  private readonly untried: string[];
  private readonly endsAt: number;
  private readonly timers: (() => void)[] = [];
  private running = 0;
  private tried = 0;
  private lastCause = '';
  private resolve: (survey: ZoneSurvey) => void = () => undefined;

  public constructor(private readonly options: ZoneInquiryOptions) {
    const { gatherer, members, deadlineMilliseconds } = options;
    this.servers = members.map(({ server }) => server);
    this.untried = pickMembers(options);
    this.endsAt = gatherer.clock.now() + deadlineMilliseconds;
  }

  /** Resolves with the first answer, or with all members as missing. Never rejects. */
  public ask(): Promise<ZoneSurvey> {
    const { clock } = this.options.gatherer;
    const { deadlineMilliseconds } = this.options;
    return new Promise((resolve) => {
      this.resolve = resolve;
      for (let number = 1; number < maximumTries; number += 1) {
        const delay = deadlineMilliseconds * tryInterval * number;
        this.timers.push(
          clock.after(delay, () => {
            this.tryNext();
          }),
        );
      }
      this.tryNext();
    });
  }

  private tryNext(): void {
    const server = this.untried.shift();
    if (server === undefined) {
      if (this.running === 0) this.giveUp();
      return;
    }
    this.tried += 1;
    this.running += 1;
    void this.askMember(server, undefined);
  }

  private async askMember(server: string, servers: readonly string[] | undefined): Promise<void> {
    const { gatherer, revision } = this.options;
    const remaining = this.endsAt - gatherer.clock.now();
    const margin = Math.min(answerMarginMilliseconds, remaining * maximumMarginShare);
    const question: ZoneQuestion = {
      kind: 'zone-revision',
      revision,
      deadlineMilliseconds: Math.max(0, remaining - margin),
      digest: digestOf(this.servers),
      servers,
    };
    const reply = await gatherer.exchange(server, JSON.stringify(question), remaining);
    const answer = reply.kind === 'answer' ? decodeZoneAnswer(reply.payload) : reply;
    if (answer.kind === 'members-differ' && servers === undefined) {
      await this.askMember(server, this.servers);
      return;
    }
    this.running -= 1;
    if (answer.kind === 'zone-survey' && answer.members >= this.servers.length) {
      this.finish(answer);
      return;
    }
    this.lastCause = answer.kind === 'failed' ? answer.cause : 'malformed answer';
    this.tryNext();
  }

  private giveUp(): void {
    const { availabilityZone } = this.options;
    const cause = `not asked: ${this.tried} members of ${availabilityZone} failed to ask for it, ${this.lastCause}`;
    const missing = tally(this.servers.map((server) => ({ cause, server })));
    this.finish({ members: this.servers.length, lacking: tally([]), missing });
  }

  private finish(survey: ZoneSurvey): void {
    for (const cancel of this.timers) cancel();
    this.untried.length = 0;
    this.resolve(survey);
  }
}

/** Members to try, those that serve first, in random order so that no member gets all questions. */
function pickMembers({ members, random }: ZoneInquiryOptions): string[] {
  return members
    .map(({ server, state, reachable }) => {
      const isGood = reachable && (state === 'serving' || state === 'warming');
      return { server, rank: (isGood ? 0 : 1) + random() };
    })
    .sort((left, right) => left.rank - right.rank)
    .slice(0, maximumTries)
    .map(({ server }) => server);
}
