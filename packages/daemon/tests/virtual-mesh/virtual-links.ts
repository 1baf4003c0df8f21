import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import type { MeshNodeDriver } from '../../src/mesh/mesh-node.js';
import type { EventQueue } from './event-queue.js';

/** One incarnation of a node, as the links between nodes see it. */
export interface LinkedNode {
  readonly self: MeshNode;
  readonly driver: MeshNodeDriver;
}

interface Connection {
  readonly ends: readonly [LinkedNode, LinkedNode];
  isOpen: boolean;
  /** Ends whose frames no longer arrive. */
  readonly silentEnds: Set<LinkedNode>;
}

/** Which frames of a connection that has gone silent are lost. */
export const SilentDirection = {
  Both: 'both',
  FromDialed: 'from-dialed',
  FromDialing: 'from-dialing',
} as const;
export type SilentDirection = (typeof SilentDirection)[keyof typeof SilentDirection];

const oneWayLatencyMilliseconds = 1;
/** A node detects after this time that a connection does not deliver anything any more. */
const silenceTimeoutMilliseconds = 600;
/** A node detects after this time that a connection on which it sends requests has gone silent. */
const suspicionMilliseconds = 160;

/** The network between nodes: ordered connections that can be blocked, reset and dialed again. */
export class VirtualLinks {
  private readonly connections = new Map<string, Connection>();
  private readonly blockedConnections = new Set<string>();

  public constructor(
    private readonly queue: EventQueue,
    private readonly findLiveNode: (name: string) => LinkedNode | undefined,
  ) {}

  public dial(from: LinkedNode, to: MeshNode): void {
    const key = connectionKey(from.self.name, to.name);
    this.queue.after(oneWayLatencyMilliseconds, () => {
      if (this.findLiveNode(from.self.name) !== from) return;
      if (this.blockedConnections.has(key)) {
        this.queue.after(silenceTimeoutMilliseconds, () => {
          from.driver.onDialFailed(to, 'timed out', false);
        });
        return;
      }
      const target = this.findLiveNode(to.name);
      if (target === undefined) from.driver.onDialFailed(to, 'refused', true);
      else this.connect(key, from, target);
    });
  }

  public send(from: LinkedNode, name: string, frame: MeshFrame): boolean {
    const connection = this.connections.get(connectionKey(from.self.name, name));
    if (connection?.isOpen !== true || !connection.ends.includes(from)) return false;
    const to = connection.ends[0] === from ? connection.ends[1] : connection.ends[0];
    this.queue.after(oneWayLatencyMilliseconds, () => {
      const isBlocked = this.blockedConnections.has(connectionKey(from.self.name, name));
      if (!connection.isOpen || isBlocked || connection.silentEnds.has(from)) return;
      to.driver.onFrame(from.self, frame);
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

  /** Settles when each connected node has received everything sent to it before, or its connection has ended. */
  public async whenAcknowledged(from: LinkedNode): Promise<void> {
    const ownConnections = [...this.connections.values()].filter(({ ends }) => ends.includes(from));
    const acknowledgements = ownConnections.map(
      (connection) =>
        new Promise<void>((resolve) => {
          const check = (): void => {
            const isBlocked = this.blockedConnections.has(connectionKey(...endNames(connection)));
            if (!connection.isOpen || !isBlocked) resolve();
            else this.queue.after(oneWayLatencyMilliseconds, check);
          };
          this.queue.after(2 * oneWayLatencyMilliseconds, check);
        }),
    );
    await Promise.all(acknowledgements);
  }

  /** Resets the connections of a node whose process has ended. */
  public onProcessEnded(node: LinkedNode): void {
    for (const connection of [...this.connections.values()]) {
      if (connection.ends.includes(node)) this.close(connection, 'reset');
    }
  }

  /** From now on, frames between the two nodes are lost. */
  public blockConnection(first: string, second: string): void {
    const key = connectionKey(first, second);
    this.blockedConnections.add(key);
    this.queue.after(silenceTimeoutMilliseconds, () => {
      const connection = this.connections.get(key);
      if (this.blockedConnections.has(key) && connection !== undefined)
        this.close(connection, 'silent');
    });
  }

  public unblockConnections(): void {
    this.blockedConnections.clear();
  }

  /** Resets all connections at once; they may be dialed again. */
  public resetAll(): void {
    for (const connection of [...this.connections.values()]) this.close(connection, 'reset');
  }

  /** Open connections go silent, until a node suspects them and opens others in their place. */
  public silence(isChosen: () => boolean, direction: SilentDirection): void {
    for (const connection of [...this.connections.values()].filter(isChosen)) {
      const [dialing, dialed] = connection.ends;
      if (direction !== SilentDirection.FromDialed) connection.silentEnds.add(dialing);
      if (direction !== SilentDirection.FromDialing) connection.silentEnds.add(dialed);
      this.queue.after(suspicionMilliseconds, () => {
        this.suspect(connection, direction === SilentDirection.FromDialed ? dialed : dialing);
      });
    }
  }

  /** Nodes take connections for silent that deliver everything, until the answers to their checks arrive. */
  public suspectWrongly(isChosen: () => boolean, milliseconds: number): void {
    for (const connection of [...this.connections.values()].filter(isChosen)) {
      const [dialing, dialed] = connection.ends;
      dialing.driver.onConnectionSuspected(dialed.self);
      this.queue.after(milliseconds, () => {
        if (connection.isOpen) dialing.driver.onConnectionConfirmed(dialed.self);
      });
    }
  }

  private suspect(connection: Connection, by: LinkedNode): void {
    if (!connection.isOpen) return;
    const [dialing, dialed] = connection.ends;
    by.driver.onConnectionSuspected((by === dialing ? dialed : dialing).self);
    this.queue.after(3 * oneWayLatencyMilliseconds, () => {
      const key = connectionKey(...endNames(connection));
      if (!connection.isOpen) return;
      this.close(connection, this.blockedConnections.has(key) ? 'silent' : 'replaced');
      if (!this.blockedConnections.has(key)) this.connect(key, dialing, dialed);
    });
  }

  private connect(key: string, from: LinkedNode, to: LinkedNode): void {
    if (this.connections.has(key)) return;
    this.connections.set(key, { ends: [from, to], isOpen: true, silentEnds: new Set() });
    for (const [node, other] of [
      [from, to],
      [to, from],
    ] as const) {
      node.driver.onConnected({
        ...other.driver.helloPayload,
        kind: 'hello',
        node: other.self,
        protocol: 1,
      });
    }
  }

  private close(connection: Connection, detail: string): void {
    const [first, second] = connection.ends;
    connection.isOpen = false;
    this.connections.delete(connectionKey(first.self.name, second.self.name));
    for (const [node, other] of [
      [first, second],
      [second, first],
    ] as const) {
      if (this.findLiveNode(node.self.name) === node)
        node.driver.onDisconnected(other.self, detail);
    }
  }
}

function endNames({ ends: [first, second] }: Connection): [string, string] {
  return [first.self.name, second.self.name];
}

function connectionKey(first: string, second: string): string {
  return first < second ? `${first} ${second}` : `${second} ${first}`;
}
