import { hashString } from '@peridotspring/core';

import type { ConfigurationProof } from './configuration-proof.js';

/** Shares of the bound for which a key may be used after its removal. */
const share = {
  /** A proof that is younger is not renewed. */
  fresh: 0.1,
  /** Nodes ask the one that announced a proof within this time, so that it does not get all questions at once. */
  announcementSpread: 0.06,
  /** From this age on, a node asks peers without an announcement. */
  ask: 0.4,
  askInterval: 0.1,
  askIntervalWithoutProof: 0.03,
  /** Time after which a node without a proof that no peer helps asks less often. */
  patience: 0.4,
  /** Age at which nodes that watch the store read it, and by how much these reads are spread. */
  readAsWatcher: 0.5,
  readAsWatcherSpread: 0.1,
  /** The same for other nodes; the first proof ends the need of the others. */
  read: 0.65,
  readSpread: 0.2,
  /** Time without a proof after which a node reads the store, and its spread. */
  readWithoutProof: 0.04,
  readWithoutProofSpread: 0.3,
  readInterval: 0.3,
} as const;

/** Questions whose answers are still accepted. */
const maximumPendingAsks = 8;

interface Peer {
  readonly isInSameZone: boolean;
  /** Whether it has announced a proof from the store. */
  hasAnnounced: boolean;
  askedAt: number;
}

/** A question for the proof of a peer. */
export interface ProofAsk {
  readonly node: string;
  readonly number: number;
}

export interface ProofAnswer {
  readonly number: number;
  readonly version: number;
  /** Age of the peer's proof when it answered. */
  readonly ageMilliseconds: number;
}

/**
 * Decides when a node asks a peer for its proof, and when it reads the store itself. All times are on the `LeaseClock`.
 * The age in an answer is counted from before the question was sent, so an answer that is late can only make the proof
 * older. Announcements only tell whom to ask.
 */
export class ProofExchange {
  private readonly peers = new Map<string, Peer>();
  private readonly pendingAsks = new Map<
    number,
    { readonly node: string; readonly askedAt: number }
  >();
  private readonly spread: number;
  private lastAskedAt = -Infinity;
  private lastReadAt = -Infinity;
  private announced: { readonly node: string; readonly askAt: number } | undefined;
  private withoutProofSince: number | undefined;

  /**
   * @param nextNumber number of the first question. Numbers must not repeat those of an earlier process of the node, since
   * the answer to one of its questions may still arrive.
   */
  public constructor(
    private readonly ownName: string,
    private nextNumber: number,
    private readonly proof: ConfigurationProof,
  ) {
    this.spread = (hashString(ownName) % 1_000) / 1_000;
  }

  public addNode(node: string, isInSameZone: boolean, now: number): void {
    // The hash spreads the first questions of the nodes over their peers.
    const askedAt = now - (hashString(`${this.ownName} ${node}`) % 1_000);
    this.peers.set(node, { askedAt, hasAnnounced: false, isInSameZone });
  }

  public removeNode(node: string): void {
    this.peers.delete(node);
  }

  /** A peer announced that it has got a proof from the store. */
  public onAnnounced(node: string, now: number): void {
    const peer = this.peers.get(node);
    if (peer === undefined) return;
    peer.hasAnnounced = true;
    this.announced ??= {
      askAt: now + this.milliseconds(share.announcementSpread) * this.spread,
      node,
    };
  }

  /** Returns whether the answer to a question of this node gave it a newer proof. */
  public onAnswer(node: string, answer: ProofAnswer, versionInForce: number): boolean {
    const { ageMilliseconds, number, version } = answer;
    const ask = this.pendingAsks.get(number);
    if (ask?.node !== node || !(ageMilliseconds >= 0)) return false;
    this.pendingAsks.delete(number);
    return this.proof.offer({ provenAt: ask.askedAt - ageMilliseconds, version }, versionInForce);
  }

  /** The question to send now, if any. `now` must have been read before the question is sent. */
  public takeDueAsk(now: number): ProofAsk | undefined {
    this.updateWithoutProof(now);
    const node = this.takeDueAnnouncement(now) ?? this.peerToAsk(now);
    if (node === undefined) return undefined;
    this.lastAskedAt = now;
    const peer = this.peers.get(node);
    if (peer !== undefined) peer.askedAt = now;
    const number = this.nextNumber;
    this.nextNumber += 1;
    this.pendingAsks.set(number, { askedAt: now, node });
    this.pendingAsks.delete(number - maximumPendingAsks);
    return { node, number };
  }

  /** Whether this node should read the store now, because neither a watcher nor a peer has renewed its proof. */
  public takeDueRead(isWatching: boolean, now: number): boolean {
    this.updateWithoutProof(now);
    if (now - this.lastReadAt < this.milliseconds(share.readInterval)) return false;
    const isDue =
      this.withoutProofSince === undefined
        ? this.proof.ageMilliseconds(now) > this.milliseconds(this.readShare(isWatching))
        : now - this.withoutProofSince >
          this.milliseconds(share.readWithoutProof + share.readWithoutProofSpread * this.spread);
    if (isDue) this.lastReadAt = now;
    return isDue;
  }

  /**
   * Whether a read of the store would renew a proof that is no longer fresh. Nodes without a proof read at different times
   * instead, since many may have started at once.
   */
  public isRenewalUseful(now: number): boolean {
    const isFresh = this.proof.ageMilliseconds(now) <= 2 * this.milliseconds(share.fresh);
    return !isFresh && this.proof.isValid(now);
  }

  private readShare(isWatching: boolean): number {
    return isWatching
      ? share.readAsWatcher + share.readAsWatcherSpread * this.spread
      : share.read + share.readSpread * this.spread;
  }

  private updateWithoutProof(now: number): void {
    if (this.proof.isValid(now)) this.withoutProofSince = undefined;
    else this.withoutProofSince ??= now;
  }

  private takeDueAnnouncement(now: number): string | undefined {
    const { announced } = this;
    if (announced === undefined || now < announced.askAt) return undefined;
    this.announced = undefined;
    const isFresh = this.proof.ageMilliseconds(now) < this.milliseconds(share.fresh);
    return isFresh || !this.peers.has(announced.node) ? undefined : announced.node;
  }

  private peerToAsk(now: number): string | undefined {
    if (this.proof.ageMilliseconds(now) < this.milliseconds(share.ask)) return undefined;
    if (now - this.lastAskedAt < this.askIntervalMilliseconds(now)) return undefined;
    let best: string | undefined;
    let bestRank = Infinity;
    for (const [name, { askedAt, hasAnnounced, isInSameZone }] of this.peers) {
      // Peers that probably have a proof are asked again earlier, but not always, since they may be cut off.
      const isPreferred = hasAnnounced || isInSameZone;
      const rank = askedAt - (isPreferred ? this.proof.boundMilliseconds : 0);
      if (rank >= bestRank) continue;
      best = name;
      bestRank = rank;
    }
    return best;
  }

  private askIntervalMilliseconds(now: number): number {
    const since = this.withoutProofSince;
    const isUrgent = since !== undefined && now - since < this.milliseconds(share.patience);
    return this.milliseconds(isUrgent ? share.askIntervalWithoutProof : share.askInterval);
  }

  private milliseconds(shareOfBound: number): number {
    return shareOfBound * this.proof.boundMilliseconds;
  }
}
