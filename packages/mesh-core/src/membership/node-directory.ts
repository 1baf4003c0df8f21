import type { MeshNode } from '../messages/mesh-frames.js';
import { rankBrokers } from './broker-ranking.js';
import { maximumFullMeshNodes, PeerSelection } from './peer-selection.js';

/** Time after which an unreachable node that no source announces any more is forgotten. */
const forgetAfterMilliseconds = 60_000;
const minimumRedialMilliseconds = 100;
const maximumRedialMilliseconds = 2_000;
/**
 * A node that was announced or lost within this time may be restarting. If it cannot reach the store, it depends on
 * other nodes dialing it, so it is dialed more often.
 */
const recentlyAnnouncedMilliseconds = 10_000;
/** Maximum redial delay for a node that was announced or lost within `recentlyAnnouncedMilliseconds`. */
const maximumRedialMillisecondsIfRecentlyAnnounced = 300;
/**
 * Time for which a node whose connection was lost is dialed even if this node has not selected it as a peer, because
 * requests sent to it stay pending until it is connected again or refuses the connection.
 */
const lostConnectionRedialMilliseconds = 3_000;
/** A node that is not selected is not dialed; it is forgotten when no source has announced it for this long. */
const forgetUnselectedAfterMilliseconds = 900_000;
/** After a lost connection, the node whose name sorts later waits, so that the two seldom dial each other at once. */
const secondDialerDelayMilliseconds = 150;

interface KnownNode {
  node: MeshNode;
  isConnected: boolean;
  hasBeenConnected: boolean;
  lastAnnouncedAt: number;
  nextDialAt: number;
  failedDialCount: number;
  /** Until this time it is dialed even if it is not selected. */
  dialRegardlessUntil: number;
}

/**
 * The other nodes that this node knows of, and when to dial each of them. Entries in the store and gossip from
 * other nodes are only hints of a node's address; whether the node is alive is observed on the connection to it.
 */
export class NodeDirectory {
  private readonly knownNodes = new Map<string, KnownNode>();
  private forgottenNodes: MeshNode[] = [];
  private connectionCount = 0;
  private readonly selection: PeerSelection;
  /** The selected peers; undefined if they have to be selected again after a change. */
  private selectedNodes: ReadonlySet<string> | undefined;
  private brokerGroups = 0;
  /** The candidates for the broker of each group; undefined if they have to be ranked again after a change. */
  private brokerCandidates: readonly (readonly string[])[] | undefined;

  public constructor(private readonly self: MeshNode) {
    this.selection = new PeerSelection(self);
  }

  /** Number of known nodes, including this one and unreachable nodes that are not forgotten yet. */
  public get nodeCount(): number {
    return this.knownNodes.size + 1;
  }

  public get connectedCount(): number {
    return this.connectionCount;
  }

  /** Number of nodes that this node should be connected to. */
  public get wantedConnectionCount(): number {
    return this.isFullMesh ? this.knownNodes.size : this.currentSelection().size;
  }

  /** Number of nodes that were connected to this one and no longer are. */
  public get lostNodeCount(): number {
    let count = 0;
    for (const { isConnected, hasBeenConnected } of this.knownNodes.values()) {
      if (hasBeenConnected && !isConnected) count += 1;
    }
    return count;
  }

  public nodes(): readonly MeshNode[] {
    return [...this.knownNodes.values()].map(({ node }) => node);
  }

  /** Number of groups that need a broker, to which this node connects; 0 if nothing is brokered. */
  public setBrokerGroups(count: number): void {
    if (this.brokerGroups === count) return;
    this.brokerGroups = count;
    this.invalidateSelection();
  }

  /** Candidates for the broker of the group, the preferred one first. This node may be among them. */
  public brokersOf(group: number): readonly string[] {
    this.brokerCandidates ??= this.rankBrokerCandidates();
    return this.brokerCandidates[group] ?? [];
  }

  /** Records that the store or another node announced a node. Returns true if this incarnation of it is new. */
  public onNodeAnnounced(node: MeshNode, now: number): boolean {
    if (node.name === this.self.name) return false;
    const known = this.knownNodes.get(node.name);
    if (known === undefined) {
      this.knownNodes.set(node.name, {
        nextDialAt: now,
        dialRegardlessUntil: -Infinity,
        failedDialCount: 0,
        isConnected: false,
        lastAnnouncedAt: now,
        node,
        hasBeenConnected: false,
      });
      this.selection.add(node);
      this.invalidateSelection();
      return true;
    }
    known.lastAnnouncedAt = now;
    if (node.boot <= known.node.boot || known.isConnected) return false;
    known.node = node;
    known.failedDialCount = 0;
    known.nextDialAt = now;
    return true;
  }

  public onConnected(node: MeshNode, now: number): void {
    this.onNodeAnnounced(node, now);
    const known = this.knownNodes.get(node.name);
    if (known === undefined) return;
    known.node = node;
    if (!known.isConnected) this.connectionCount += 1;
    known.isConnected = true;
    known.hasBeenConnected = true;
    known.failedDialCount = 0;
    known.lastAnnouncedAt = now;
    this.invalidateSelection();
  }

  public onDisconnected(name: string, now: number): void {
    const known = this.knownNodes.get(name);
    if (known === undefined) return;
    if (known.isConnected) this.connectionCount -= 1;
    known.isConnected = false;
    known.lastAnnouncedAt = now;
    known.dialRegardlessUntil = now + lostConnectionRedialMilliseconds;
    known.nextDialAt = now + (this.self.name < name ? 0 : secondDialerDelayMilliseconds);
  }

  public onDialFailed(name: string, now: number): void {
    const known = this.knownNodes.get(name);
    if (known === undefined) return;
    if (known.failedDialCount === 0) this.invalidateSelection();
    known.failedDialCount += 1;
    const backoffMilliseconds = minimumRedialMilliseconds * 2 ** Math.min(known.failedDialCount, 5);
    const isRecent = now - known.lastAnnouncedAt < recentlyAnnouncedMilliseconds;
    const maximumMilliseconds = isRecent
      ? maximumRedialMillisecondsIfRecentlyAnnounced
      : maximumRedialMilliseconds;
    known.nextDialAt = now + Math.min(backoffMilliseconds, maximumMilliseconds);
  }

  /** Nodes that were forgotten since the last call after failed attempts to dial them. */
  public takeForgottenNodes(): readonly MeshNode[] {
    const nodes = this.forgottenNodes;
    this.forgottenNodes = [];
    return nodes;
  }

  /** Nodes to dial now. A node is returned only once until its dial fails or its connection is lost. */
  public takeNodesToDial(now: number): readonly MeshNode[] {
    const nodesToDial: MeshNode[] = [];
    const selected = this.isFullMesh ? undefined : this.currentSelection();
    for (const [name, known] of this.knownNodes) {
      if (known.isConnected || known.nextDialAt > now) continue;
      const isDialed = selected?.has(name) !== false || now < known.dialRegardlessUntil;
      const forgetAfter = isDialed ? forgetAfterMilliseconds : forgetUnselectedAfterMilliseconds;
      if (now - known.lastAnnouncedAt > forgetAfter) {
        this.forget(known);
        continue;
      }
      if (!isDialed) continue;
      known.nextDialAt = Infinity;
      nodesToDial.push(known.node);
    }
    return nodesToDial;
  }

  /** Whether the cluster is small enough for every node to connect to every other. */
  private get isFullMesh(): boolean {
    return this.nodeCount <= maximumFullMeshNodes;
  }

  private currentSelection(): ReadonlySet<string> {
    if (this.selectedNodes !== undefined) return this.selectedNodes;
    const selected = new Set(this.selection.select((name) => this.isReachable(name)));
    for (let group = 0; group < this.brokerGroups; group += 1)
      for (const name of this.brokersOf(group)) if (name !== this.self.name) selected.add(name);
    this.selectedNodes = selected;
    return selected;
  }

  private rankBrokerCandidates(): readonly (readonly string[])[] {
    const nodes = this.nodes();
    return Array.from({ length: this.brokerGroups }, (_, group) =>
      rankBrokers(group, this.self, nodes, (name) => this.isReachable(name)),
    );
  }

  private isReachable(name: string): boolean {
    const known = this.knownNodes.get(name);
    return known !== undefined && (known.isConnected || known.failedDialCount === 0);
  }

  private invalidateSelection(): void {
    this.selectedNodes = undefined;
    this.brokerCandidates = undefined;
  }

  private forget({ failedDialCount, node }: KnownNode): void {
    this.knownNodes.delete(node.name);
    this.selection.remove(node.name);
    this.invalidateSelection();
    if (failedDialCount > 0) this.forgottenNodes.push(node);
  }
}
