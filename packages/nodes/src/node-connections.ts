import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

import { DialBackoff } from './dial-backoff.js';
import type { ConnectionSide, PeerSecrets } from './peer-authentication.js';
import { CloseReason, PeerConnection } from './peer-connection.js';
import type { PeerConnectionEvents } from './peer-connection.js';

/** A connection with more unsent bytes than this is sent no new calls. */
const congestionThresholdBytes = 4_194_304;
/** Frames queued at most for a peer whose connection is being opened. */
const maximumQueuedFrames = 1_000;
const tickIntervalMilliseconds = 250;
/** Connections that others opened without having proved themselves; beyond it, the oldest is closed. */
const maximumUnauthenticatedConnections = 512;

/** Whether a frame was accepted for sending. */
export const SendResult = {
  Accepted: 'accepted',
  Congested: 'congested',
  Unreachable: 'unreachable',
} as const;
export type SendResult = (typeof SendResult)[keyof typeof SendResult];

export interface NodeConnectionsEvents {
  readonly onFrame: (from: NodeIdentity, frame: PeerFrame) => void;
  /** Frames queued for a connection that could not be opened; none of them was sent. */
  readonly onUnsent: (server: string, frames: readonly PeerFrame[]) => void;
  /** A connection was lost; frames sent on it may be lost. */
  readonly onConnectionLost: (server: string, reason: CloseReason, detail: string) => void;
  /** The write buffer of a connection to the server has emptied. */
  readonly onDrained: (server: string) => void;
  /** A dial failed, or an accepted connection was closed before its handshake was complete. */
  readonly onConnectionRejected: (reason: CloseReason, detail: string) => void;
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
  pendingDial: PeerConnection | undefined;
  queuedFrames: PeerFrame[];
}

/** All connections of this node to other nodes: accepts them, opens them on demand, closes idle ones. */
export class NodeConnections {
  public readonly closeCounts = new Map<CloseReason, number>();

  private readonly server: Server;
  private readonly peers = new Map<string, Peer>();
  private readonly unauthenticated = new Set<PeerConnection>();
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;

  public constructor(private readonly options: NodeConnectionsOptions) {
    this.server = createServer((socket) => {
      this.closeOldestUnauthenticated();
      this.unauthenticated.add(this.open(socket, 'accepted', undefined));
    });
    this.timer = setInterval(() => {
      this.tick();
    }, tickIntervalMilliseconds);
  }

  /** Starts accepting connections; resolves to the port. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.bindPort, this.options.bindHost, resolve);
    });
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Bytes sent and received on all connections since the node started. */
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

  /** Sends a frame, opening a connection to the address if there is none to the server. */
  public send(server: string, address: string, frame: PeerFrame): SendResult {
    const peer = this.getOrCreatePeer(server);
    const [connection] = peer.connections;
    if (connection !== undefined) {
      if (frame.kind === 'request-start' && connection.bufferedBytes > congestionThresholdBytes) {
        return SendResult.Congested;
      }
      connection.send(frame);
      return SendResult.Accepted;
    }
    if (peer.pendingDial === undefined && !this.dial(peer, address)) {
      return SendResult.Unreachable;
    }
    if (peer.queuedFrames.length >= maximumQueuedFrames) {
      return SendResult.Congested;
    }
    peer.queuedFrames.push(frame);
    return SendResult.Accepted;
  }

  /** Bytes for a peer that have not been written to the network yet. */
  public bufferedBytes(server: string): number {
    return this.peers.get(server)?.connections[0]?.bufferedBytes ?? 0;
  }

  public async close(): Promise<void> {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const connection of this.unauthenticated) {
      connection.close();
    }
    for (const peer of this.peers.values()) {
      peer.pendingDial?.close();
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

  private getOrCreatePeer(server: string): Peer {
    let peer = this.peers.get(server);
    if (peer === undefined) {
      const backoff = new DialBackoff(this.options.random);
      peer = { backoff, connections: [], pendingDial: undefined, server, queuedFrames: [] };
      this.peers.set(server, peer);
    }
    return peer;
  }

  private dial(peer: Peer, address: string): boolean {
    if (this.isClosed || !peer.backoff.canDial(this.options.clock())) {
      return false;
    }
    const separator = address.lastIndexOf(':');
    const port = Number(address.slice(separator + 1));
    if (separator <= 0 || !Number.isInteger(port) || port < 1 || port > 65_535) {
      return false;
    }
    const socket = connect({ host: address.slice(0, separator), port });
    peer.pendingDial = this.open(socket, 'dialed', peer);
    return true;
  }

  private open(socket: Socket, side: ConnectionSide, dialedPeer: Peer | undefined): PeerConnection {
    const events: PeerConnectionEvents = {
      onClosed: (connection, reason, detail) => {
        this.handleClosed(connection, dialedPeer, reason, detail);
      },
      onDrained: (connection) => {
        if (connection.peer !== undefined) {
          this.options.events.onDrained(connection.peer.server);
        }
      },
      onFrame: (connection, frame) => {
        if (connection.peer !== undefined) {
          this.options.events.onFrame(connection.peer, frame);
        }
      },
      onReady: (connection) => {
        this.handleReady(connection, dialedPeer);
      },
    };
    const { clock, identity, secrets } = this.options;
    return new PeerConnection({ clock, events, identity, secrets, side, socket });
  }

  private closeOldestUnauthenticated(): void {
    if (this.unauthenticated.size < maximumUnauthenticatedConnections) return;
    const [oldest] = this.unauthenticated;
    oldest?.close(CloseReason.TooManyConnections, 'handshake not completed before others');
  }

  private handleReady(connection: PeerConnection, dialedPeer: Peer | undefined): void {
    const identity = connection.peer;
    if (identity === undefined) {
      return;
    }
    this.unauthenticated.delete(connection);
    if (dialedPeer !== undefined && dialedPeer.server !== identity.server) {
      connection.close(
        CloseReason.BadHello,
        `expected server ${dialedPeer.server}, found ${identity.server}`,
      );
      return;
    }
    const peer = this.getOrCreatePeer(identity.server);
    peer.connections.push(connection);
    peer.backoff.recordSuccess();
    if (peer.pendingDial === connection) {
      peer.pendingDial = undefined;
    }
    const { queuedFrames } = peer;
    peer.queuedFrames = [];
    for (const frame of queuedFrames) {
      connection.send(frame);
    }
  }

  private handleClosed(
    connection: PeerConnection,
    dialedPeer: Peer | undefined,
    reason: CloseReason,
    detail: string,
  ): void {
    this.closeCounts.set(reason, (this.closeCounts.get(reason) ?? 0) + 1);
    this.closedBytesSent += connection.bytesSent;
    this.closedBytesReceived += connection.bytesReceived;
    this.unauthenticated.delete(connection);
    const server = dialedPeer?.server ?? connection.peer?.server;
    if (server === undefined) {
      this.options.events.onConnectionRejected(reason, detail);
      return;
    }
    const peer = this.getOrCreatePeer(server);
    if (peer.pendingDial === connection) {
      this.handleDialFailed(peer, reason, detail);
      return;
    }
    const index = peer.connections.indexOf(connection);
    if (index >= 0) {
      peer.connections.splice(index, 1);
    }
    if (!this.isClosed) {
      this.options.events.onConnectionLost(server, reason, detail);
    }
  }

  private handleDialFailed(peer: Peer, reason: CloseReason, detail: string): void {
    const { queuedFrames } = peer;
    peer.pendingDial = undefined;
    peer.queuedFrames = [];
    peer.backoff.recordFailure(this.options.clock());
    this.options.events.onConnectionRejected(reason, detail);
    if (!this.isClosed) {
      this.options.events.onUnsent(peer.server, queuedFrames);
    }
  }

  private tick(): void {
    const now = this.options.clock();
    for (const connection of [...this.unauthenticated]) {
      connection.tick(now);
    }
    for (const peer of this.peers.values()) {
      peer.pendingDial?.tick(now);
      for (const connection of [...peer.connections]) {
        connection.tick(now);
      }
    }
  }
}
