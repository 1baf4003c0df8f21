import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

import { DialBackoff } from './dial-backoff.js';
import type { ConnectionSide, PeerSecrets } from './peer-authentication.js';
import { CloseReason, PeerConnection } from './peer-connection.js';
import type { PeerConnectionEvents } from './peer-connection.js';

/** Above this many unsent bytes a node takes no new calls for the peer. */
const congestionBytes = 4_194_304;
/** Frames that may wait for a connection that is being opened. */
const maximumWaitingFrames = 1_000;
const tickMilliseconds = 250;

/** What became of a frame that was handed over for sending. */
export const SendResult = {
  Accepted: 'accepted',
  Congested: 'congested',
  Unreachable: 'unreachable',
} as const;
export type SendResult = (typeof SendResult)[keyof typeof SendResult];

export interface NodeConnectionsEvents {
  readonly frame: (from: NodeIdentity, frame: PeerFrame) => void;
  /** Frames that waited for a connection that could not be opened: none of them was sent. */
  readonly unsent: (server: string, frames: readonly PeerFrame[]) => void;
  /** A connection was lost; frames on it may be lost. */
  readonly lost: (server: string, reason: CloseReason, detail: string) => void;
  readonly drained: (server: string) => void;
  readonly rejected: (reason: CloseReason, detail: string) => void;
}

export interface NodeConnectionsOptions {
  readonly identity: NodeIdentity;
  readonly secrets: PeerSecrets;
  readonly bindHost: string;
  readonly bindPort: number;
  readonly clock: () => number;
  readonly random: () => number;
  readonly events: NodeConnectionsEvents;
}

interface Peer {
  readonly server: string;
  readonly backoff: DialBackoff;
  readonly connections: PeerConnection[];
  dialing: PeerConnection | undefined;
  waiting: PeerFrame[];
}

/** All connections of this node to others: accepts them, opens them on demand, closes idle ones. */
export class NodeConnections {
  public readonly closeCounts = new Map<CloseReason, number>();

  private readonly server: Server;
  private readonly peers = new Map<string, Peer>();
  private readonly unidentified = new Set<PeerConnection>();
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;

  public constructor(private readonly options: NodeConnectionsOptions) {
    this.server = createServer((socket) => {
      this.unidentified.add(this.open(socket, 'accepted', undefined));
    });
    this.timer = setInterval(() => {
      this.tick();
    }, tickMilliseconds);
  }

  /** Starts to accept connections; resolves to the port. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Bytes that went over all connections since the start. */
  public get traffic(): { readonly sent: number; readonly received: number } {
    let sent = this.closedBytesSent;
    let received = this.closedBytesReceived;
    for (const peer of this.peers.values()) {
      for (const connection of peer.connections) {
        sent += connection.bytesSent;
        received += connection.bytesReceived;
      }
    }
    return { received, sent };
  }

  /** Sends a frame, opening a connection if there is none. */
  public send(server: string, address: string, frame: PeerFrame): SendResult {
    const peer = this.peerOf(server);
    const [connection] = peer.connections;
    if (connection !== undefined) {
      if (frame.kind === 'request-start' && connection.bufferedBytes > congestionBytes) {
        return SendResult.Congested;
      }
      connection.send(frame);
      return SendResult.Accepted;
    }
    if (peer.dialing === undefined && !this.dial(peer, address)) {
      return SendResult.Unreachable;
    }
    if (peer.waiting.length >= maximumWaitingFrames) {
      return SendResult.Congested;
    }
    peer.waiting.push(frame);
    return SendResult.Accepted;
  }

  /** Bytes that wait to be written to a peer. */
  public bufferedBytes(server: string): number {
    return this.peers.get(server)?.connections[0]?.bufferedBytes ?? 0;
  }

  public async close(): Promise<void> {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const connection of this.unidentified) {
      connection.close();
    }
    for (const peer of this.peers.values()) {
      peer.dialing?.close();
      for (const connection of [...peer.connections]) {
        connection.close();
      }
    }
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private peerOf(server: string): Peer {
    let peer = this.peers.get(server);
    if (peer === undefined) {
      const backoff = new DialBackoff(this.options.random);
      peer = { backoff, connections: [], dialing: undefined, server, waiting: [] };
      this.peers.set(server, peer);
    }
    return peer;
  }

  private dial(peer: Peer, address: string): boolean {
    if (this.isClosed || !peer.backoff.isDue(this.options.clock())) {
      return false;
    }
    const separator = address.lastIndexOf(':');
    const port = Number(address.slice(separator + 1));
    if (separator <= 0 || !Number.isInteger(port) || port < 1 || port > 65_535) {
      return false;
    }
    const socket = connect({ host: address.slice(0, separator), port });
    peer.dialing = this.open(socket, 'dialed', peer);
    return true;
  }

  private open(socket: Socket, side: ConnectionSide, dialedPeer: Peer | undefined): PeerConnection {
    const events: PeerConnectionEvents = {
      closed: (connection, reason, detail) => {
        this.closed(connection, dialedPeer, reason, detail);
      },
      drained: (connection) => {
        if (connection.peer !== undefined) {
          this.options.events.drained(connection.peer.server);
        }
      },
      frame: (connection, frame) => {
        if (connection.peer !== undefined) {
          this.options.events.frame(connection.peer, frame);
        }
      },
      ready: (connection) => {
        this.ready(connection, dialedPeer);
      },
    };
    const { clock, identity, secrets } = this.options;
    return new PeerConnection({ clock, events, identity, secrets, side, socket });
  }

  private ready(connection: PeerConnection, dialedPeer: Peer | undefined): void {
    const identity = connection.peer;
    if (identity === undefined) {
      return;
    }
    this.unidentified.delete(connection);
    if (dialedPeer !== undefined && dialedPeer.server !== identity.server) {
      connection.close(
        CloseReason.BadHello,
        `expected server ${dialedPeer.server}, found ${identity.server}`,
      );
      return;
    }
    const peer = this.peerOf(identity.server);
    peer.connections.push(connection);
    peer.backoff.succeeded();
    if (peer.dialing === connection) {
      peer.dialing = undefined;
    }
    const { waiting } = peer;
    peer.waiting = [];
    for (const frame of waiting) {
      connection.send(frame);
    }
  }

  private closed(
    connection: PeerConnection,
    dialedPeer: Peer | undefined,
    reason: CloseReason,
    detail: string,
  ): void {
    this.closeCounts.set(reason, (this.closeCounts.get(reason) ?? 0) + 1);
    this.closedBytesSent += connection.bytesSent;
    this.closedBytesReceived += connection.bytesReceived;
    this.unidentified.delete(connection);
    const server = dialedPeer?.server ?? connection.peer?.server;
    if (server === undefined) {
      this.options.events.rejected(reason, detail);
      return;
    }
    const peer = this.peerOf(server);
    if (peer.dialing === connection) {
      this.dialFailed(peer, reason, detail);
      return;
    }
    const index = peer.connections.indexOf(connection);
    if (index >= 0) {
      peer.connections.splice(index, 1);
    }
    if (!this.isClosed) {
      this.options.events.lost(server, reason, detail);
    }
  }

  private dialFailed(peer: Peer, reason: CloseReason, detail: string): void {
    const { waiting } = peer;
    peer.dialing = undefined;
    peer.waiting = [];
    peer.backoff.failed(this.options.clock());
    this.options.events.rejected(reason, detail);
    if (!this.isClosed) {
      this.options.events.unsent(peer.server, waiting);
    }
  }

  private tick(): void {
    const now = this.options.clock();
    for (const connection of [...this.unidentified]) {
      connection.tick(now);
    }
    for (const peer of this.peers.values()) {
      peer.dialing?.tick(now);
      for (const connection of [...peer.connections]) {
        connection.tick(now);
      }
    }
  }
}
