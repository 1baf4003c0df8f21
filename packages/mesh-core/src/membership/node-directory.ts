import type { MeshNode } from '../messages/mesh-frames.js';
import { completeFleetNodes, PeerSelection } from './peer-selection.js';

/** Time after which a node that can't be reached and that nobody mentions is forgotten. */
const forgetAfterMilliseconds = 60_000;
const shortestRedialMilliseconds = 100;
const longestRedialMilliseconds = 2_000;
/** A node that was lost a short while ago may be starting again, and without the store it waits to be found. */
const recentMilliseconds = 10_000;
const recentRedialMilliseconds = 300;
/**
 * Time for which a node whose connection was lost is dialed although it is not selected: requests that wait
 * there end when it is connected again or refuses.
 */
const lostConnectionMilliseconds = 3_000;
/** A node that nobody selects is never dialed; it is forgotten when the directory lacks it for this long. */
const forgetUnselectedMilliseconds = 900_000;
/** The node with the later name waits, so that two nodes seldom dial each other at the same time. */
const secondDialerMilliseconds = 150;

interface KnownNode {
  node: MeshNode;
  isConnected: boolean;
  wasConnected: boolean;
  lastMentionedAt: number;
  dialAt: number;
  failures: number;
  /** Until then it is dialed in any case. */
  dialedUntil: number;
}

/**
 * The other nodes that this one knows of, and when to dial each. Entries of the store and what other
 * nodes say are hints of where a node may be; whether it lives shows on the connection to it.
 */
export class NodeDirectory {
  private readonly known = new Map<string, KnownNode>();
  private forgotten: MeshNode[] = [];
  private connectedCount = 0;
  private readonly selection: PeerSelection;
  /** The nodes to connect to; undefined after a change. */
  private selected: ReadonlySet<string> | undefined;

  public constructor(private readonly self: MeshNode) {
    this.selection = new PeerSelection(self);
  }

  /** Nodes that may be at work now, this one included. */
  public get size(): number {
    return this.known.size + 1;
  }

  public get connected(): number {
    return this.connectedCount;
  }

  /** Nodes that this one means to be connected to. */
  public get wanted(): number {
    return this.isComplete ? this.known.size : this.selectedNow().size;
  }

  /** Nodes that had a connection and have none now. */
  public get gone(): number {
    let count = 0;
    for (const { isConnected, wasConnected } of this.known.values()) {
      if (wasConnected && !isConnected) count += 1;
    }
    return count;
  }

  public nodes(): readonly MeshNode[] {
    return [...this.known.values()].map(({ node }) => node);
  }

  /** The store or another node names a node. True if it was not known in this life. */
  public mentioned(node: MeshNode, now: number): boolean {
    if (node.name === this.self.name) return false;
    const known = this.known.get(node.name);
    if (known === undefined) {
      this.known.set(node.name, {
        dialAt: now,
        dialedUntil: -Infinity,
        failures: 0,
        isConnected: false,
        lastMentionedAt: now,
        node,
        wasConnected: false,
      });
      this.selection.add(node);
      this.selected = undefined;
      return true;
    }
    known.lastMentionedAt = now;
    if (node.boot <= known.node.boot || known.isConnected) return false;
    known.node = node;
    known.failures = 0;
    known.dialAt = now;
    return true;
  }

  public connectedTo(node: MeshNode, now: number): void {
    this.mentioned(node, now);
    const known = this.known.get(node.name);
    if (known === undefined) return;
    known.node = node;
    if (!known.isConnected) this.connectedCount += 1;
    known.isConnected = true;
    known.wasConnected = true;
    known.failures = 0;
    known.lastMentionedAt = now;
    this.selected = undefined;
  }

  public disconnected(name: string, now: number): void {
    const known = this.known.get(name);
    if (known === undefined) return;
    if (known.isConnected) this.connectedCount -= 1;
    known.isConnected = false;
    known.lastMentionedAt = now;
    known.dialedUntil = now + lostConnectionMilliseconds;
    known.dialAt = now + (this.self.name < name ? 0 : secondDialerMilliseconds);
  }

  public dialFailed(name: string, now: number): void {
    const known = this.known.get(name);
    if (known === undefined) return;
    if (known.failures === 0) this.selected = undefined;
    known.failures += 1;
    const delay = shortestRedialMilliseconds * 2 ** Math.min(known.failures, 5);
    const isRecent = now - known.lastMentionedAt < recentMilliseconds;
    const longest = isRecent ? recentRedialMilliseconds : longestRedialMilliseconds;
    known.dialAt = now + Math.min(delay, longest);
  }

  /** Nodes that were dialed in vain for long; each is given once. */
  public takeForgotten(): readonly MeshNode[] {
    const forgotten = this.forgotten;
    this.forgotten = [];
    return forgotten;
  }

  /** Nodes to dial now; each is given once until its dial fails or its connection ends. */
  public dueForDial(now: number): readonly MeshNode[] {
    const due: MeshNode[] = [];
    const selected = this.isComplete ? undefined : this.selectedNow();
    for (const [name, known] of this.known) {
      if (known.isConnected || known.dialAt > now) continue;
      const isDialed = selected?.has(name) !== false || now < known.dialedUntil;
      const forgetAfter = isDialed ? forgetAfterMilliseconds : forgetUnselectedMilliseconds;
      if (now - known.lastMentionedAt > forgetAfter) {
        this.forget(known);
        continue;
      }
      if (!isDialed) continue;
      known.dialAt = Infinity;
      due.push(known.node);
    }
    return due;
  }

  private get isComplete(): boolean {
    return this.size <= completeFleetNodes;
  }

  private selectedNow(): ReadonlySet<string> {
    this.selected ??= this.selection.select((name) => {
      const known = this.known.get(name);
      return known !== undefined && (known.isConnected || known.failures === 0);
    });
    return this.selected;
  }

  private forget({ failures, node }: KnownNode): void {
    this.known.delete(node.name);
    this.selection.remove(node.name);
    this.selected = undefined;
    if (failures > 0) this.forgotten.push(node);
  }
}
