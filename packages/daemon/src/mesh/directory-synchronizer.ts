import { NodeDirectory } from '@peridotspring/mesh-core';
import type { MeshNode } from '@peridotspring/mesh-core';

import { MeshEvent } from './mesh-event.js';

/**
 * A node without connections reads the directory again at this interval, since it may have removed all
 * unreachable nodes from its own list.
 */
const isolatedRereadIntervalMilliseconds = 5_000;

/** Operations on the node directory in the store. */
export interface DirectoryStore {
  refreshDirectory(): void;
  /** Removes the entry of a node that is gone, unless the entry has changed. */
  removeEntry(node: MeshNode): void;
}

export interface DirectorySynchronizerOptions {
  readonly self: MeshNode;
  readonly startedAt: number;
  readonly store: () => DirectoryStore;
  /** Whether this node removes the entries of nodes that are gone; only a few nodes of the fleet do. */
  readonly isRemovingEntries: () => boolean;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Keeps the list of known nodes in sync with the directory in the store and with reports of peers. */
export class DirectorySynchronizer {
  public readonly directory: NodeDirectory;
  private isDirectoryRead = false;
  /** Number of nodes that became known since the last log line about it. */
  private unreportedNodes = 0;
  private rereadDueAt: number;

  public constructor(private readonly options: DirectorySynchronizerOptions) {
    this.directory = new NodeDirectory(options.self);
    this.rereadDueAt = options.startedAt + isolatedRereadIntervalMilliseconds;
  }

  /** Whether the directory was read and at least half of the wanted connections are up. */
  public get isMostlyConnected(): boolean {
    return (
      this.isDirectoryRead &&
      this.directory.connectedCount * 2 >= this.directory.wantedConnectionCount
    );
  }

  /** Number of nodes, including unreachable ones of the last minute; undefined before the directory was read. */
  public get nodeCount(): number | undefined {
    return this.isDirectoryRead ? this.directory.nodeCount : undefined;
  }

  public observe(node: MeshNode, now: number): void {
    if (this.directory.onNodeAnnounced(node, now)) this.unreportedNodes += 1;
  }

  /** `onNodeObserved` has been called for all entries of the store. */
  public onReadComplete(): void {
    this.isDirectoryRead = true;
    this.logObservedNodes('store');
  }

  /** Logs one line for all new nodes: a node that starts in a large fleet learns of hundreds at once. */
  public logObservedNodes(source: string): void {
    if (this.unreportedNodes === 0) return;
    const known = this.directory.nodeCount - 1;
    this.options.log(MeshEvent.NodesKnown, { known, nodes: this.unreportedNodes, source });
    this.unreportedNodes = 0;
  }

  public tick(now: number): void {
    const { isRemovingEntries, log, store } = this.options;
    for (const node of this.directory.takeForgottenNodes()) {
      log(MeshEvent.NodeForgotten, { peer: node.name });
      if (isRemovingEntries()) store().removeEntry(node);
    }
    if (this.directory.connectedCount > 0)
      this.rereadDueAt = now + isolatedRereadIntervalMilliseconds;
    if (now < this.rereadDueAt) return;
    this.rereadDueAt = now + isolatedRereadIntervalMilliseconds;
    store().refreshDirectory();
  }
}
