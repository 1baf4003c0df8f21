import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import type { MemoryAccount, MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import { meshProtocolVersion } from './mesh-frame-codec.js';
import type { MeshHelloPayload, MeshHelloFrame } from './mesh-frame-codec.js';
import { LinkPacer } from './link-pacer.js';
import { MeshConnection } from './mesh-connection.js';
import type { MeshConnectionEvents } from './mesh-connection.js';

/** Error code of a refused connection: no process listens at the address. */
const connectionRefusedCode = 'ECONNREFUSED';
/** Above the intervals at which a process that runs freely calls `tick`. */
const stallMilliseconds = 150;
/** Minimum interval between checks of all connections. */
const fullCheckIntervalMilliseconds = 1_000;

export interface MeshConnectionsEvents {
  /** A connection to a node is established; frames sent on an earlier connection to it may be lost. */
  readonly onConnected: (hello: MeshHelloFrame) => void;
  readonly onDisconnected: (node: MeshNode, detail: string) => void;
  /** The connection to a node may have gone silent; another one is being opened in its place. */
  readonly onSuspected: (node: MeshNode) => void;
  /** The suspected connection to a node has shown that it works. */
  readonly onConfirmed: (node: MeshNode) => void;
  /** A dial failed; `isRefused` means that the dialed node no longer runs at its address. */
  readonly onDialFailed: (node: MeshNode, detail: string, isRefused: boolean) => void;
  readonly onFrame: (from: MeshNode, frame: MeshFrame) => void;
}

export interface MeshConnectionsOptions {
  readonly self: MeshNode;
  readonly bindHost: string;
  readonly bindPort: number;
  readonly clock: () => number;
  /** Rate of the machine's link, in megabits per second; undefined if it is not known. */
  readonly linkMegabitsPerSecond?: number | undefined;
  /** Maximum number of connections that others opened without having named themselves; beyond it, the oldest is closed. */
  readonly maximumUnnamedConnections: number;
  /** Counts long frames until they have been read on either side. */
  readonly memory: MemoryAccount;
  /** Counts connections, and short frames until they have been read on either side. */
  readonly connectionMemory: MemoryAccount;
  /** Current values for the hello frame of a new connection. */
  readonly helloPayload: () => MeshHelloPayload;
  readonly events: MeshConnectionsEvents;
}

/** The connections of this node to other nodes: at most one established connection to each. */
export class MeshConnections {
  private readonly server: Server;
  private readonly connections = new Map<string, MeshConnection>();
  private readonly handshaking = new Set<MeshConnection>();
  /** Identifiers of connections that this node closed, of which the other node may not know, by its name. */
  private readonly closedIds = new Map<string, string>();
  private readonly linkPacer: LinkPacer | undefined;
  private dialCount = 0;
  private lastTickAt = Infinity;
  private hasStalled = false;
  private fullCheckDueAt = -Infinity;

  public constructor(private readonly options: MeshConnectionsOptions) {
    this.linkPacer = createLinkPacer(options);
    this.server = createServer((socket) => {
      this.closeOldestUnnamed();
      this.open(socket, undefined);
    });
  }

  public async listen(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
  }

  public dial(node: MeshNode): void {
    const separator = node.address.lastIndexOf(':');
    const port = Number(node.address.slice(separator + 1));
    if (separator <= 0 || !Number.isInteger(port) || port < 1 || port > 65_535) {
      process.nextTick(() => {
        this.options.events.onDialFailed(
          node,
          `${node.address} is not a valid host:port address`,
          false,
        );
      });
      return;
    }
    this.open(connect({ host: node.address.slice(0, separator), port }), node);
  }

  /** False if there is no connection to the node. */
  public send(name: string, frame: MeshFrame): boolean {
    const connection = this.connections.get(name);
    if (connection === undefined) return false;
    connection.send(frame);
    return true;
  }

  /**
   * Sends a frame to every connected node, and also on connections that are still in the handshake: their
   * hello has already been sent and holds the state from before this frame.
   */
  public broadcast(frame: MeshFrame): void {
    for (const connection of this.connections.values()) connection.send(frame);
    for (const connection of this.handshaking) connection.send(frame);
  }

  /** Resolves once every connected node has read all frames broadcast so far, or its connection has closed. */
  public async whenRead(): Promise<void> {
    const reads = [...this.connections.values()].map(
      (connection) =>
        new Promise<void>((resolve) => {
          connection.callWhenRead(resolve);
        }),
    );
    await Promise.all(reads);
  }

  public tick(now: number): void {
    // After a stall, the next turn of the event loop reads what has arrived; a node that always stalls still checks.
    this.hasStalled = !this.hasStalled && now - this.lastTickAt > stallMilliseconds;
    this.lastTickAt = now;
    for (const connection of [...this.handshaking]) connection.tick(now, this.hasStalled);
    for (const connection of [...this.connections.values()]) connection.tick(now, this.hasStalled);
  }

  /** Number of connections with frames that wait for the machine's link. */
  public get waitingForLink(): number {
    return this.linkPacer?.waitingConnections ?? 0;
  }

  /** Stops listening, flushes written frames and closes all connections. */
  public close(): void {
    this.server.close();
    for (const connection of this.handshaking) connection.close('this node is stopping');
    for (const connection of this.connections.values()) connection.end();
    this.connections.clear();
  }

  private open(socket: Socket, dialedNode: MeshNode | undefined): void {
    const { clock, events, helloPayload, memory, connectionMemory, self } = this.options;
    const replacedId = dialedNode && this.idToReplace(dialedNode.name);
    const connectionEvents: MeshConnectionEvents = {
      onClosed: (closed, detail, code) => {
        this.handleClosed(closed, detail, code);
      },
      onConfirmed: ({ peer }) => {
        if (peer !== undefined) events.onConfirmed(peer);
      },
      onFrame: (from, frame) => {
        if (from.peer !== undefined) events.onFrame(from.peer, frame);
      },
      onHello: (source, hello) => {
        this.handleHello(source, hello);
      },
      onSuspected: (suspected) => {
        this.handleSuspected(suspected);
      },
    };
    const connection = new MeshConnection(
      socket,
      dialedNode,
      replacedId,
      clock,
      memory,
      connectionMemory,
      connectionEvents,
      this.linkPacer,
    );
    if (dialedNode !== undefined) {
      this.dialCount += 1;
      connection.id = `${self.name}/${self.boot}/${this.dialCount}`;
    }
    this.handshaking.add(connection);
    connection.send({
      ...helloPayload(),
      ...(dialedNode !== undefined && { connectionId: connection.id, replacedId }),
      kind: 'hello',
      node: self,
      protocol: meshProtocolVersion,
    });
  }

  private closeOldestUnnamed(): void {
    let oldest: MeshConnection | undefined;
    let count = 0;
    for (const connection of this.handshaking) {
      if (connection.dialedNode !== undefined) continue;
      oldest ??= connection;
      count += 1;
    }
    if (count >= this.options.maximumUnnamedConnections)
      oldest?.close('too many connections without a hello');
  }

  /** Identifier of the last connection to the node, which the node may take for one that works. */
  private idToReplace(name: string): string | undefined {
    return this.connections.get(name)?.id ?? this.closedIds.get(name);
  }

  private handleSuspected({ peer }: MeshConnection): void {
    if (peer === undefined) return;
    const isBeingReplaced = [...this.handshaking].some(
      ({ dialedNode }) => dialedNode?.name === peer.name,
    );
    if (isBeingReplaced) return;
    this.options.events.onSuspected(peer);
    this.dial(peer);
  }

  /** What silenced one connection may have silenced others, on which nothing has been sent since. */
  private checkAllConnections(): void {
    const now = this.options.clock();
    if (now < this.fullCheckDueAt) return;
    this.fullCheckDueAt = now + fullCheckIntervalMilliseconds;
    for (const connection of this.connections.values()) connection.requestCheck();
  }

  private handleHello(connection: MeshConnection, hello: MeshHelloFrame): void {
    const { node } = hello;
    if (!this.handshaking.delete(connection)) {
      connection.close('received a second hello');
      return;
    }
    if (node.name === this.options.self.name) {
      connection.close('this node connected to itself');
      return;
    }
    const { dialedNode } = connection;
    if (dialedNode !== undefined && dialedNode.name !== node.name) {
      this.handleDialFailed(dialedNode, `found node ${node.name} at this address`, true);
    }
    if (dialedNode === undefined) connection.id = hello.connectionId;
    const replacedId = dialedNode === undefined ? hello.replacedId : connection.replacedId;
    const existing = this.connections.get(node.name);
    if (existing !== undefined) {
      const isReplaced = existing.id !== undefined && existing.id === replacedId;
      if (!isReplaced && this.isExistingPreferred(existing, connection, node)) {
        connection.close('another connection to this node is kept');
        return;
      }
      if (isReplaced) this.checkAllConnections();
      this.connections.delete(node.name);
      existing.close('replaced by another connection');
      this.options.events.onDisconnected(node, 'replaced by another connection');
    }
    this.closedIds.delete(node.name);
    this.connections.set(node.name, connection);
    this.options.events.onConnected(hello);
  }

  /**
   * When two nodes dial each other at the same time, both keep the connection opened by the node whose name
   * sorts first, so that they choose the same one. A newer incarnation of the other node always wins.
   */
  private isExistingPreferred(
    existing: MeshConnection,
    added: MeshConnection,
    node: MeshNode,
  ): boolean {
    if (existing.peer?.boot !== node.boot) return (existing.peer?.boot ?? 0) > node.boot;
    const isDialedByLowerName = (connection: MeshConnection): boolean =>
      (connection.dialedNode !== undefined) === this.options.self.name < node.name;
    return isDialedByLowerName(existing) && !isDialedByLowerName(added);
  }

  private handleClosed(connection: MeshConnection, detail: string, code: string | undefined): void {
    if (this.handshaking.delete(connection)) {
      if (connection.dialedNode !== undefined)
        this.handleDialFailed(connection.dialedNode, detail, code === connectionRefusedCode);
      return;
    }
    const { peer } = connection;
    if (peer === undefined) return;
    if (this.connections.get(peer.name) !== connection) return;
    this.connections.delete(peer.name);
    if (connection.id !== undefined) this.closedIds.set(peer.name, connection.id);
    this.options.events.onDisconnected(peer, detail);
  }

  private handleDialFailed(node: MeshNode, detail: string, isRefused: boolean): void {
    const existing = this.connections.get(node.name);
    // A suspected connection stays in use, unless its process no longer listens at the address.
    if (existing !== undefined && !isRefused) return;
    if (existing?.isSilent === true) existing.close('the process of the other side has ended');
    this.options.events.onDialFailed(node, detail, isRefused);
  }
}

function createLinkPacer({
  clock,
  linkMegabitsPerSecond: megabitsPerSecond,
}: MeshConnectionsOptions): LinkPacer | undefined {
  if (megabitsPerSecond === undefined) return undefined;
  return new LinkPacer({
    clock,
    megabitsPerSecond,
    schedule: (callback, milliseconds) => {
      setTimeout(callback, milliseconds).unref();
    },
  });
}
