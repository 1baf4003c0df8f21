import { zoneRank } from '../membership/zone-rank.js';
import type { MeshNode } from '../messages/mesh-frames.js';
import { zoneKey } from '../shared/same-zone.js';

/** Number of nodes per availability zone that watch the store: one of them may fail without any effect. */
const watchersPerZone = 2;
/**
 * Time for which watchers have to be missing before a node takes over. It is longer than a reset of the
 * node's connections takes.
 */
const takeoverDelayMilliseconds = 1_000;

/** The place of a node among those that watch the store. */
export interface WatchTurn {
  readonly index: number;
  readonly count: number;
}

interface Peer {
  readonly zone: string;
  readonly rank: string;
  isStoreReachable: boolean;
}

/**
 * Decides whether this node watches the configuration in the store. Calls to the store are billed, and if every
 * node watched, each change would cost a call per node. Therefore only the first nodes of each availability zone,
 * ordered by the hash of their names, watch, and the others receive the configuration from them. A node counts
 * only nodes that it is connected to and that reach the store, so no agreement is needed: a node that is
 * partitioned from all others watches the store itself.
 */
export class StoreWatchElection {
  private readonly peers = new Map<string, Peer>();
  private readonly rank: string;
  private readonly zone: string;
  private isStoreReached = true;
  private watcherMissingSince: number | undefined;
  private isElected = false;

  public constructor(self: MeshNode) {
    this.rank = zoneRank(self);
    this.zone = zoneKey(self);
  }

  /** Whether the store responds to this node. */
  public get isStoreReachable(): boolean {
    return this.isStoreReached;
  }

  /** Whether this node watches the store, according to the last evaluation. */
  public get isWatching(): boolean {
    return this.isElected;
  }

  /** Names of the connected nodes that reach the store, those of the own zone first. */
  public get nodesReachingStore(): readonly string[] {
    const reaching = [...this.peers].filter(([, { isStoreReachable }]) => isStoreReachable);
    const isNear = ([, { zone }]: (typeof reaching)[number]): boolean => zone === this.zone;
    const near = reaching.filter(isNear);
    const far = reaching.filter((peer) => !isNear(peer));
    return [...near, ...far].map(([name]) => name);
  }

  public onNodeConnected(node: MeshNode, isStoreReachable: boolean): void {
    this.peers.set(node.name, { isStoreReachable, rank: zoneRank(node), zone: zoneKey(node) });
  }

  public onNodeDisconnected(name: string): void {
    this.peers.delete(name);
  }

  /** Handles the report of another node whether the store responds to it. */
  public onStoreReachabilityReported(name: string, isStoreReachable: boolean): void {
    const peer = this.peers.get(name);
    if (peer !== undefined) peer.isStoreReachable = isStoreReachable;
  }

  /** Handles a change of whether the store responds to this node. */
  public onStoreReachabilityChanged(isStoreReachable: boolean): void {
    this.isStoreReached = isStoreReachable;
  }

  /** The place of this node among those that watch, as far as it knows them. */
  public get watchTurn(): WatchTurn {
    const ranksByZone = new Map<string, string[]>();
    const reachablePeers = [...this.peers.values()].filter((peer) => peer.isStoreReachable);
    for (const { rank, zone } of [...reachablePeers, { rank: this.rank, zone: this.zone }])
      ranksByZone.set(zone, [...(ranksByZone.get(zone) ?? []), rank]);
    const watcherRanks = [...ranksByZone.values()].flatMap((ranks) =>
      ranks.sort().slice(0, watchersPerZone),
    );
    const precedingCount = watcherRanks.filter((rank) => rank < this.rank).length;
    // During a takeover, this node may watch without being among the first of its zone.
    const count = watcherRanks.includes(this.rank) ? watcherRanks.length : watcherRanks.length + 1;
    return { count, index: precedingCount };
  }

  /** Re-evaluates whether this node watches the store, and returns the result. */
  public evaluate(now: number): boolean {
    if (!this.isWatcherMissing()) {
      this.watcherMissingSince = undefined;
      this.isElected = false;
      return false;
    }
    this.watcherMissingSince ??= now;
    this.isElected ||= now - this.watcherMissingSince >= takeoverDelayMilliseconds;
    return this.isElected;
  }

  /** Whether fewer nodes than the required watchers precede this one in its zone. */
  private isWatcherMissing(): boolean {
    let precedingNodes = 0;
    for (const { isStoreReachable, rank, zone } of this.peers.values()) {
      // While this node can't reach the store either, the order stays the same: in an outage of the store, only
      // the elected nodes poll for its return.
      if (this.isStoreReached && !isStoreReachable) continue;
      if (zone !== this.zone || rank >= this.rank) continue;
      precedingNodes += 1;
      if (precedingNodes >= watchersPerZone) return false;
    }
    return true;
  }
}
