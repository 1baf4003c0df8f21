import type { ConfigurationFrame, ConfigurationPushFrame } from '../messages/frames.js';
import type { Configuration } from '../messages/service-configuration.js';
import type { ClockReading } from '../shared/clock-reading.js';
import { pickRandom, shuffled, type RandomSource } from '../shared/random-source.js';
import type { ConfigurationHistory } from './configuration-history.js';

/** Nodes to which each node announces a new revision; four reach 98 % of a zone, pings the rest. */
const announcementFanOut = 4;
/** Delay before pulling a revision observed in a ping; most are announced within this time. */
const pullDelayMilliseconds = 300;
const pullTimeoutMilliseconds = 500;
/**
 * Limit on whole configurations that a node sends per second; nodes left unanswered ask other
 * peers.
 */
const maximumFullPushesPerSecond = 4;

interface ObservedRevision {
  readonly server: string;
  readonly revision: number;
}

/** Announces revisions to other nodes and pulls the ones that this node lacks. */
export class ConfigurationDistributor {
  private peers: readonly string[] = [];
  private newestObserved: ObservedRevision | undefined;
  /** Highest revision that was pulled because of an announcement. */
  private highestPulledRevision = 0;
  private nextPullAt = Number.POSITIVE_INFINITY;
  private fullPushes = 0;
  private fullPushWindowStart = 0;

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

  /** Handles the revision that another node reported; a higher one is pulled after a delay. */
  public onRevisionObserved(server: string, revision: number, now: ClockReading): void {
    if (revision <= this.history.current.revision) return;
    if (revision >= (this.newestObserved?.revision ?? 0))
      this.newestObserved = { server, revision };
    this.nextPullAt = Math.min(this.nextPullAt, now.monotonic + pullDelayMilliseconds);
  }

  /** Pulls from two random peers, after this node learned from the store that it lags behind. */
  public pullFromPeers(): void {
    for (const server of shuffled(this.random, this.peers).slice(0, 2)) {
      this.pull(server);
    }
  }

  /**
   * Answers a pull. If that takes a whole configuration and the limit on those is exceeded, the pull is
   * not answered and only a metric is incremented.
   */
  public handlePull(from: string, knownRevision: number, now: ClockReading): void {
    if (knownRevision >= this.history.current.revision) return;
    const push = this.history.createPush(knownRevision);
    if (push.baseRevision === 0 && !this.canSendFullPush(now)) {
      this.count('configuration_pulls_deferred');
      return;
    }
    this.send(from, push);
  }

  /** Returns the configuration that results from a push, if any. */
  public handlePush(
    from: string,
    frame: ConfigurationPushFrame,
    now: ClockReading,
  ): Configuration | undefined {
    if (frame.revision <= this.history.current.revision) return undefined;
    const configuration = this.history.applyPush(frame);
    if (configuration === undefined) {
      this.newestObserved = { server: from, revision: frame.revision };
      this.nextPullAt = now.monotonic;
    }
    return configuration;
  }

  /**
   * Announces the revision that has just come into force. The content is sent only to nodes that pull
   * it, because each node receives several announcements of a revision and needs one copy.
   */
  public announce(previousRevision: number): void {
    const { revision } = this.history.current;
    // The first revision that a node loads after its start is not new to other nodes.
    if (previousRevision === 0 && revision > 1) return;
    for (const server of shuffled(this.random, this.peers).slice(0, announcementFanOut)) {
      this.send(server, { kind: 'configuration-announcement', revision });
    }
  }

  /** Pulls an announced revision from the first node that announced it. */
  public onAnnouncement(server: string, revision: number, now: ClockReading): void {
    const isPulled = revision <= this.highestPulledRevision;
    if (isPulled || revision <= this.history.current.revision) return;
    this.highestPulledRevision = revision;
    this.newestObserved = { server, revision };
    this.nextPullAt = now.monotonic + pullTimeoutMilliseconds;
    this.pull(server);
  }

  public get nextTickAt(): number {
    return this.nextPullAt;
  }

  public tick(now: ClockReading): void {
    if (now.monotonic < this.nextPullAt) return;
    const { newestObserved } = this;
    if (newestObserved === undefined || newestObserved.revision <= this.history.current.revision) {
      this.nextPullAt = Number.POSITIVE_INFINITY;
      return;
    }
    // The node that reported the revision may be gone or busy, so half of the pulls go to a random peer.
    const peer = pickRandom(this.random, this.peers);
    this.pull(peer !== undefined && this.random.next() < 0.5 ? peer : newestObserved.server);
    this.nextPullAt = now.monotonic + pullTimeoutMilliseconds;
  }

  private pull(server: string): void {
    const haveRevision = this.history.current.revision;
    this.send(server, { kind: 'configuration-pull', haveRevision });
  }

  private canSendFullPush(now: ClockReading): boolean {
    if (now.monotonic - this.fullPushWindowStart >= 1_000) {
      this.fullPushWindowStart = now.monotonic;
      this.fullPushes = 0;
    }
    this.fullPushes += 1;
    return this.fullPushes <= maximumFullPushesPerSecond;
  }
}
