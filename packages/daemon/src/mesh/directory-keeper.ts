import { NodeDirectory } from '@peridotspring/mesh-core';
import type { MeshNode } from '@peridotspring/mesh-core';

import { MeshEvent } from './mesh-event.js';

/** A node that is connected to no other reads the directory again this often; it may have forgotten all. */
const isolatedRereadMilliseconds = 5_000;

/** The directory in the store, as its keeper uses it. */
export interface DirectoryStore {
  /** Reads the directory once more. */
  refreshDirectory(): void;
  /** Removes the entry of a node that ended, unless it has changed. */
  removeEntry(node: MeshNode): void;
}

export interface DirectoryKeeperOptions {
  readonly self: MeshNode;
  readonly startedAt: number;
  readonly store: () => DirectoryStore;
  /** Whether this node removes the entries of nodes that ended, so that few do. */
  readonly isRemover: () => boolean;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Keeps the list of nodes in step with the store and with what other nodes tell. */
export class DirectoryKeeper {
  public readonly directory: NodeDirectory;
  private isRead = false;
  /** Nodes that were heard of since the last line on that. */
  private newlyKnown = 0;
  private rereadAt: number;

  public constructor(private readonly options: DirectoryKeeperOptions) {
    this.directory = new NodeDirectory(options.self);
    this.rereadAt = options.startedAt + isolatedRereadMilliseconds;
  }

  /** Whether the directory was read and half of the wanted connections are up. */
  public get isMostlyConnected(): boolean {
    return this.isRead && this.directory.connectedCount * 2 >= this.directory.wantedConnectionCount;
  }

  public mentioned(node: MeshNode, now: number): void {
    if (this.directory.onNodeAnnounced(node, now)) this.newlyKnown += 1;
  }

  /** All entries of the store have been mentioned. */
  public read(): void {
    this.isRead = true;
    this.tellNewlyKnown('store');
  }

  /** One line for all: a node that starts in a large fleet hears of hundreds at once. */
  public tellNewlyKnown(source: string): void {
    if (this.newlyKnown === 0) return;
    const known = this.directory.nodeCount - 1;
    this.options.log(MeshEvent.NodesKnown, { known, nodes: this.newlyKnown, source });
    this.newlyKnown = 0;
  }

  public tick(now: number): void {
    const { isRemover, log, store } = this.options;
    for (const node of this.directory.takeForgottenNodes()) {
      log(MeshEvent.NodeForgotten, { peer: node.name });
      if (isRemover()) store().removeEntry(node);
    }
    if (this.directory.connectedCount > 0) this.rereadAt = now + isolatedRereadMilliseconds;
    if (now < this.rereadAt) return;
    this.rereadAt = now + isolatedRereadMilliseconds;
    store().refreshDirectory();
  }
}
