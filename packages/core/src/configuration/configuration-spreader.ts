import type { ConfigurationFrame, ConfigurationPushFrame } from '../messages/frames.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { pickRandom, shuffled, type RandomSource } from '../shared/random-source.js';
import type { ConfigurationHistory } from './configuration-history.js';

/** Members that each node announces a new revision to; four reach 98 % of a zone, pings the rest. */
const announcementFanOut = 4;
/** A revision that was only heard of by a ping is usually announced within this time. */
const pullDelayMilliseconds = 300;
const pullTimeoutMilliseconds = 500;
/** Whole configurations that a node sends per second; other nodes that start ask elsewhere. */
const wholeAnswersPerSecond = 4;

interface SeenRevision {
  readonly server: string;
  readonly revision: number;
}

/** Passes revisions on to other nodes and fetches those that this node lacks. */
export class ConfigurationSpreader {
  private peers: readonly string[] = [];
  private newestSeen: SeenRevision | undefined;
  /** The newest revision that was pulled on an announcement. */
  private pulledRevision = 0;
  private nextPullAt = Number.POSITIVE_INFINITY;
  private wholeAnswers = 0;
  private wholeAnswersSince = 0;

  public constructor(
    private readonly history: ConfigurationHistory,
    private readonly random: RandomSource,
    private readonly send: (to: string, frame: ConfigurationFrame) => void,
    private readonly count: (counter: string) => void,
  ) {}

  public setPeers(peers: readonly string[]): void {
    this.peers = peers;
  }

  public get hasPeers(): boolean {
    return this.peers.length > 0;
  }

  /** Another node has a revision; a lower one than this node's gets the difference at once. */
  public seen(server: string, revision: number, now: ClockReading): void {
    if (revision <= this.history.current.revision) return;
    if (revision >= (this.newestSeen?.revision ?? 0)) this.newestSeen = { server, revision };
    this.nextPullAt = Math.min(this.nextPullAt, now.monotonic + pullDelayMilliseconds);
  }

  /** Asks two random peers, for a node that knows from the store that it lags. */
  public pullFromPeers(): void {
    for (const server of shuffled(this.random, this.peers).slice(0, 2)) {
      this.pull(server);
    }
  }

  /** Answers a pull, or counts why it was left unanswered. */
  public answerPull(from: string, haveRevision: number, now: ClockReading): void {
    if (haveRevision >= this.history.current.revision) return;
    const push = this.history.pushFor(haveRevision);
    if (push.baseRevision === 0 && !this.mayAnswerWhole(now)) {
      this.count('configuration_pulls_deferred');
      return;
    }
    this.send(from, push);
  }

  /** Returns the configuration that a push brings into force, if any. */
  public receive(
    from: string,
    frame: ConfigurationPushFrame,
    now: ClockReading,
  ): Configuration | undefined {
    if (frame.revision <= this.history.current.revision) return undefined;
    const configuration = this.history.applyPush(frame);
    if (configuration === undefined) {
      this.newestSeen = { server: from, revision: frame.revision };
      this.nextPullAt = now.monotonic;
    }
    return configuration;
  }

  /**
   * Announces the revision that has just come into force. The content is sent only to those that pull
   * it, because each node hears of a revision from several others and needs one copy.
   */
  public spread(previousRevision: number): void {
    const { revision } = this.history.current;
    // A node that has just started tells nobody anything new.
    if (previousRevision === 0 && revision > 1) return;
    for (const server of shuffled(this.random, this.peers).slice(0, announcementFanOut)) {
      this.send(server, { kind: 'configuration-announcement', revision });
    }
  }

  /** Pulls an announced revision from the first node that announced it. */
  public announced(server: string, revision: number, now: ClockReading): void {
    const isPulled = revision <= this.pulledRevision;
    if (isPulled || revision <= this.history.current.revision) return;
    this.pulledRevision = revision;
    this.newestSeen = { server, revision };
    this.nextPullAt = now.monotonic + pullTimeoutMilliseconds;
    this.pull(server);
  }

  public get nextTickAt(): number {
    return this.nextPullAt;
  }

  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextPullAt) return;
    const { newestSeen } = this;
    if (newestSeen === undefined || newestSeen.revision <= this.history.current.revision) {
      this.nextPullAt = Number.POSITIVE_INFINITY;
      return;
    }
    // The server that was seen may be gone or busy, so every other pull asks a random peer.
    const peer = pickRandom(this.random, this.peers);
    this.pull(peer !== undefined && this.random.next() < 0.5 ? peer : newestSeen.server);
    this.nextPullAt = now.monotonic + pullTimeoutMilliseconds;
  }

  private pull(server: string): void {
    const haveRevision = this.history.current.revision;
    this.send(server, { kind: 'configuration-pull', haveRevision });
  }

  private mayAnswerWhole(now: ClockReading): boolean {
    if (now.monotonic - this.wholeAnswersSince >= 1_000) {
      this.wholeAnswersSince = now.monotonic;
      this.wholeAnswers = 0;
    }
    this.wholeAnswers += 1;
    return this.wholeAnswers <= wholeAnswersPerSecond;
  }
}
