import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import type { MeshNodeDriver } from '../../src/mesh/mesh-node.js';
import type { EventQueue } from './event-queue.js';

/** A life of a node's process, as the links between nodes see it. */
export interface LinkedNode {
  readonly self: MeshNode;
  readonly driver: MeshNodeDriver;
}

interface Connection {
  readonly ends: readonly [LinkedNode, LinkedNode];
  isOpen: boolean;
}

const wayMilliseconds = 1;
/** Nodes notice after this time that nothing comes through any more. */
const silenceMilliseconds = 600;

/** The network between nodes: ordered connections that are cut, lost, and dialed again. */
export class VirtualLinks {
  private readonly connections = new Map<string, Connection>();
  private readonly cuts = new Set<string>();

  public constructor(
    private readonly queue: EventQueue,
    private readonly liveNode: (name: string) => LinkedNode | undefined,
  ) {}

  public dial(from: LinkedNode, to: MeshNode): void {
    const key = keyOf(from.self.name, to.name);
    this.queue.after(wayMilliseconds, () => {
      if (this.liveNode(from.self.name) !== from) return;
      if (this.cuts.has(key)) {
        this.queue.after(silenceMilliseconds, () => {
          from.driver.dialFailed(to, 'timed out', false);
        });
        return;
      }
      const target = this.liveNode(to.name);
      if (target === undefined) from.driver.dialFailed(to, 'refused', true);
      else this.connect(key, from, target);
    });
  }

  public send(from: LinkedNode, name: string, frame: MeshFrame): boolean {
    const connection = this.connections.get(keyOf(from.self.name, name));
    if (connection?.isOpen !== true || !connection.ends.includes(from)) return false;
    const to = connection.ends[0] === from ? connection.ends[1] : connection.ends[0];
    this.queue.after(wayMilliseconds, () => {
      if (!connection.isOpen || this.cuts.has(keyOf(from.self.name, name))) return;
      to.driver.frame(from.self, frame);
    });
    return true;
  }

  public broadcast(from: LinkedNode, frame: MeshFrame): void {
    for (const { ends } of this.connections.values()) {
      if (!ends.includes(from)) continue;
      const to = ends[0] === from ? ends[1] : ends[0];
      this.send(from, to.self.name, frame);
    }
  }

  /** Settles when the nodes connected to this one have read what it sent before, or are connected no more. */
  public async whenRead(from: LinkedNode): Promise<void> {
    const open = [...this.connections.values()].filter(({ ends }) => ends.includes(from));
    const reads = open.map(
      (connection) =>
        new Promise<void>((resolve) => {
          const check = (): void => {
            const isCut = this.cuts.has(keyOf(...names(connection)));
            if (!connection.isOpen || !isCut) resolve();
            else this.queue.after(wayMilliseconds, check);
          };
          this.queue.after(2 * wayMilliseconds, check);
        }),
    );
    await Promise.all(reads);
  }

  /** A process has ended; the other ends of its connections are reset. */
  public ended(node: LinkedNode): void {
    for (const connection of [...this.connections.values()]) {
      if (connection.ends.includes(node)) this.close(connection, 'reset');
    }
  }

  /** What is sent between two nodes is lost from now on. */
  public cut(first: string, second: string): void {
    const key = keyOf(first, second);
    this.cuts.add(key);
    this.queue.after(silenceMilliseconds, () => {
      const connection = this.connections.get(key);
      if (this.cuts.has(key) && connection !== undefined) this.close(connection, 'silent');
    });
  }

  public heal(): void {
    this.cuts.clear();
  }

  /** All connections are lost at once and may be dialed again. */
  public resetAll(): void {
    for (const connection of [...this.connections.values()]) this.close(connection, 'reset');
  }

  private connect(key: string, from: LinkedNode, to: LinkedNode): void {
    if (this.connections.has(key)) return;
    this.connections.set(key, { ends: [from, to], isOpen: true });
    for (const [node, other] of [
      [from, to],
      [to, from],
    ] as const) {
      node.driver.connected({
        ...other.driver.greeting,
        kind: 'hello',
        node: other.self,
        protocol: 1,
      });
    }
  }

  private close(connection: Connection, detail: string): void {
    const [first, second] = connection.ends;
    connection.isOpen = false;
    this.connections.delete(keyOf(first.self.name, second.self.name));
    for (const [node, other] of [
      [first, second],
      [second, first],
    ] as const) {
      if (this.liveNode(node.self.name) === node) node.driver.disconnected(other.self, detail);
    }
  }
}

function names({ ends: [first, second] }: Connection): [string, string] {
  return [first.self.name, second.self.name];
}

function keyOf(first: string, second: string): string {
  return first < second ? `${first} ${second}` : `${second} ${first}`;
}
