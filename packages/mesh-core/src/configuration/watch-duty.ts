import { zoneRank } from '../membership/zone-rank.js';
import type { MeshNode } from '../messages/mesh-frames.js';
import { isSameZone } from '../shared/same-zone.js';

/** Nodes of an availability zone that watch the store, so that one of them may fail unnoticed. */
const watchersPerZone = 2;
/** Others have to be missing this long before a node takes over: a reset of its connections passes sooner. */
const takeOverMilliseconds = 1_000;

interface Peer {
  readonly isNear: boolean;
  readonly rank: string;
  reachesStore: boolean;
}

/**
 * Whether this node watches the configuration in the store. Calls to the store are billed, and a watch of
 * each node costs a call for each node and change. So the first nodes of each availability zone by the hash
 * of their names watch, and the others take the configuration from them. A node counts only those that it
 * is connected to and that reach the store, so nobody has to agree: a node that is cut off watches itself.
 */
export class WatchDuty {
  private readonly peers = new Map<string, Peer>();
  private readonly rank: string;
  private isStoreReached = true;
  private missingSince: number | undefined;
  private isOnDuty = false;

  public constructor(private readonly self: MeshNode) {
    this.rank = zoneRank(self);
  }

  /** Whether the store answers this node. */
  public get reachesStore(): boolean {
    return this.isStoreReached;
  }

  /** Whether this node watches the store, as last evaluated. */
  public get isWatching(): boolean {
    return this.isOnDuty;
  }

  public connected(node: MeshNode, reachesStore: boolean): void {
    const isNear = isSameZone(node, this.self);
    this.peers.set(node.name, { isNear, rank: zoneRank(node), reachesStore });
  }

  public disconnected(name: string): void {
    this.peers.delete(name);
  }

  /** A node says whether the store answers it. */
  public told(name: string, reachesStore: boolean): void {
    const peer = this.peers.get(name);
    if (peer !== undefined) peer.reachesStore = reachesStore;
  }

  /** The store answers this node again, or does not answer it any more. */
  public storeReached(reachesStore: boolean): void {
    this.isStoreReached = reachesStore;
  }

  /** Whether this node watches the store from now on. */
  public evaluate(now: number): boolean {
    if (!this.isMissing()) {
      this.missingSince = undefined;
      this.isOnDuty = false;
      return false;
    }
    this.missingSince ??= now;
    this.isOnDuty ||= now - this.missingSince >= takeOverMilliseconds;
    return this.isOnDuty;
  }

  /** Whether fewer nodes than needed come before this one. */
  private isMissing(): boolean {
    let before = 0;
    for (const { isNear, rank, reachesStore } of this.peers.values()) {
      // While no node reaches the store, the order stays, so that not all of them ask for its return.
      if (this.isStoreReached && !reachesStore) continue;
      if (!isNear || rank >= this.rank) continue;
      before += 1;
      if (before >= watchersPerZone) return false;
    }
    return true;
  }
}
