import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import { meshProtocolVersion } from './mesh-frame-codec.js';
import type { MeshGreeting, MeshHelloFrame } from './mesh-frame-codec.js';
import { MeshLink } from './mesh-link.js';

/** The connection was refused: no process listens there. */
const refusedCode = 'ECONNREFUSED';

export interface MeshLinksEvents {
  /** A connection to a node is up; frames sent on an earlier one may be lost. */
  readonly connected: (hello: MeshHelloFrame) => void;
  readonly disconnected: (node: MeshNode, detail: string) => void;
  /** A dial failed; `isRefused` tells that no process listens there. */
  readonly dialFailed: (node: MeshNode, detail: string, isRefused: boolean) => void;
  readonly frame: (from: MeshNode, frame: MeshFrame) => void;
}

export interface MeshLinksOptions {
  readonly self: MeshNode;
  readonly bindHost: string;
  readonly bindPort: number;
  readonly clock: () => number;
  /** What the first frame tells besides the node itself. */
  readonly greeting: () => MeshGreeting;
  readonly events: MeshLinksEvents;
}

/** The connections of this node to others: one to each node that it knows. */
export class MeshLinks {
  private readonly server: Server;
  private readonly links = new Map<string, MeshLink>();
  private readonly pending = new Set<MeshLink>();

  public constructor(private readonly options: MeshLinksOptions) {
    this.server = createServer((socket) => {
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
        this.options.events.dialFailed(node, `${node.address} is not an address`, false);
      });
      return;
    }
    this.open(connect({ host: node.address.slice(0, separator), port }), node);
  }

  /** False if there is no connection to the node. */
  public send(name: string, frame: MeshFrame): boolean {
    const link = this.links.get(name);
    if (link === undefined) return false;
    link.send(frame);
    if (frame.kind === 'start') link.awaited += 1;
    else if (frame.kind === 'cancel') link.awaited = Math.max(0, link.awaited - 1);
    return true;
  }

  /**
   * Sends a frame to every node that is connected or is about to be: the first frame of a new connection has
   * left already and tells what held before.
   */
  public broadcast(frame: MeshFrame): void {
    for (const link of this.links.values()) link.send(frame);
    for (const link of this.pending) link.send(frame);
  }

  /** Settles once every connected node has read what was broadcast before, or its connection has ended. */
  public async whenRead(): Promise<void> {
    const reads = [...this.links.values()].map(
      (link) =>
        new Promise<void>((resolve) => {
          link.whenRead(resolve);
        }),
    );
    await Promise.all(reads);
  }

  public tick(now: number): void {
    for (const link of [...this.pending]) link.tick(now);
    for (const link of [...this.links.values()]) link.tick(now);
  }

  /** Sends what is written and closes all connections. */
  public close(): void {
    this.server.close();
    for (const link of this.pending) link.close('this node stops');
    for (const link of this.links.values()) link.end();
    this.links.clear();
  }

  private open(socket: Socket, dialed: MeshNode | undefined): void {
    const { clock, events, greeting, self } = this.options;
    const link = new MeshLink(socket, dialed, clock, {
      closed: (closed, detail, code) => {
        this.closed(closed, detail, code);
      },
      frame: (from, frame) => {
        if (from.peer === undefined) return;
        if (frame.kind === 'answered' || frame.kind === 'declined' || frame.kind === 'failed') {
          from.awaited = Math.max(0, from.awaited - 1);
        }
        events.frame(from.peer, frame);
      },
      hello: (greeted, hello) => {
        this.greeted(greeted, hello);
      },
    });
    this.pending.add(link);
    link.send({ ...greeting(), kind: 'hello', node: self, protocol: meshProtocolVersion });
  }

  private greeted(link: MeshLink, hello: MeshHelloFrame): void {
    const { node } = hello;
    if (!this.pending.delete(link)) {
      link.close('second hello');
      return;
    }
    if (node.name === this.options.self.name) {
      link.close('connected to itself');
      return;
    }
    const { dialed } = link;
    if (dialed !== undefined && dialed.name !== node.name) {
      this.options.events.dialFailed(dialed, `found ${node.name} there`, true);
    }
    const other = this.links.get(node.name);
    if (other !== undefined) {
      if (this.isPreferred(other, link, node)) {
        link.close('there is another connection');
        return;
      }
      this.links.delete(node.name);
      other.close('replaced by another connection');
      this.options.events.disconnected(node, 'replaced by another connection');
    }
    this.links.set(node.name, link);
    this.options.events.connected(hello);
  }

  /**
   * Two nodes that dial each other at the same time keep the connection that the one with the earlier
   * name dialed, so that both keep the same one. A new life of the other's process always wins.
   */
  private isPreferred(kept: MeshLink, added: MeshLink, node: MeshNode): boolean {
    if (kept.peer?.boot !== node.boot) return (kept.peer?.boot ?? 0) > node.boot;
    const isDialedByEarlier = (link: MeshLink): boolean =>
      (link.dialed !== undefined) === this.options.self.name < node.name;
    return isDialedByEarlier(kept) && !isDialedByEarlier(added);
  }

  private closed(link: MeshLink, detail: string, code: string | undefined): void {
    if (this.pending.delete(link)) {
      if (link.dialed !== undefined) {
        this.options.events.dialFailed(link.dialed, detail, code === refusedCode);
      }
      return;
    }
    const { peer } = link;
    if (peer === undefined) return;
    if (this.links.get(peer.name) !== link) return;
    this.links.delete(peer.name);
    this.options.events.disconnected(peer, detail);
  }
}
