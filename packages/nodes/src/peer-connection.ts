import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';

import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

import { CorkedWriter } from './corked-writer.js';
import { encodeFrame, FrameDecoder } from './frame-codec.js';
import { createProof, verifyProof } from './peer-authentication.js';
import type { ConnectionSide, PeerSecrets } from './peer-authentication.js';
import { protocolVersion } from './wire-frames.js';
import type { HelloFrame, WireFrame } from './wire-frames.js';

/** Why a connection was closed. The connections are counted by reason. */
export const CloseReason = {
  BadEncoding: 'bad-encoding',
  BadHello: 'bad-hello',
  BadProof: 'bad-proof',
  BadShape: 'bad-shape',
  ClosedByOther: 'closed-by-other',
  Idle: 'idle',
  LocalClose: 'local-close',
  Silent: 'silent',
  SocketError: 'socket-error',
  TooLarge: 'too-large',
  TooManyConnections: 'too-many-connections',
  VersionMismatch: 'version-mismatch',
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

const heartbeatIntervalMilliseconds = 1_000;
const silenceTimeoutMilliseconds = 5_000;
/**
 * Heartbeats stop this long after the last frame of a call. A node pings a different member every second;
 * heartbeats on all those connections would cost more than the pings.
 */
const heartbeatPeriodAfterCallMilliseconds = 10_000;
const idleTimeoutMilliseconds = 60_000;
const handshakeTimeoutMilliseconds = 3_000;
const nonceBytes = 16;

export interface PeerConnectionEvents {
  readonly onReady: (connection: PeerConnection) => void;
  readonly onFrame: (connection: PeerConnection, frame: PeerFrame) => void;
  readonly onClosed: (connection: PeerConnection, reason: CloseReason, detail: string) => void;
  readonly onDrained: (connection: PeerConnection) => void;
}

export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly side: ConnectionSide;
  readonly identity: NodeIdentity;
  readonly secrets: PeerSecrets;
  readonly events: PeerConnectionEvents;
  readonly clock: () => number;
}

/** An authenticated connection to another node. Owns its socket. */
export class PeerConnection {
  /** The other node; undefined until its proof has been verified. */
  public peer: NodeIdentity | undefined;
  public bytesSent = 0;
  public bytesReceived = 0;

  private readonly decoder = new FrameDecoder();
  private readonly nonce = randomBytes(nonceBytes);
  private peerHello: HelloFrame | undefined;
  private isClosed = false;
  private readonly writer: CorkedWriter;
  private readonly openedAt: number;
  private lastReceivedAt: number;
  private lastSentAt: number;
  /** When the last frame other than handshake and heartbeat frames was sent or received. */
  private lastActivityAt: number;
  /** When the last frame of a call was sent or received. */
  private lastCallAt = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: PeerConnectionOptions) {
    const now = options.clock();
    this.writer = new CorkedWriter(options.socket);
    this.openedAt = now;
    this.lastReceivedAt = now;
    this.lastSentAt = now;
    this.lastActivityAt = now;
    const { socket } = options;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.handleChunk(chunk);
    });
    socket.on('error', (error) => {
      this.close(CloseReason.SocketError, error.message);
    });
    socket.on('close', () => {
      this.close(CloseReason.ClosedByOther, '');
    });
    socket.on('drain', () => {
      options.events.onDrained(this);
    });
    this.write({
      identity: options.identity,
      kind: 'hello',
      nonce: this.nonce,
      version: protocolVersion,
    });
  }

  /** Bytes that have not been written to the network yet. */
  public get bufferedBytes(): number {
    return this.options.socket.writableLength;
  }

  public send(frame: PeerFrame): void {
    this.recordActivity(frame, this.options.clock());
    this.write(frame);
  }

  /** Sends a heartbeat when one is due; closes the connection when it is idle or the other side is silent. */
  public tick(now: number): void {
    if (this.peer === undefined) {
      if (now - this.openedAt > handshakeTimeoutMilliseconds) {
        this.close(CloseReason.Silent, 'handshake not completed in time');
      }
      return;
    }
    if (now - this.lastActivityAt > idleTimeoutMilliseconds) {
      this.close(CloseReason.Idle, '');
      return;
    }
    if (now - this.lastCallAt > heartbeatPeriodAfterCallMilliseconds) {
      // The other side sends no heartbeats either, so silence is measured only from the next call on.
      this.lastReceivedAt = now;
      return;
    }
    if (now - this.lastReceivedAt > silenceTimeoutMilliseconds) {
      this.close(CloseReason.Silent, `nothing received for ${now - this.lastReceivedAt} ms`);
      return;
    }
    if (now - this.lastSentAt >= heartbeatIntervalMilliseconds) {
      this.write({ kind: 'heartbeat' });
    }
  }

  public close(reason: CloseReason = CloseReason.LocalClose, detail = ''): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.options.socket.destroy();
    this.options.events.onClosed(this, reason, detail);
  }

  private recordActivity(frame: PeerFrame, now: number): void {
    this.lastActivityAt = now;
    if (isCallFrame(frame)) {
      this.lastCallAt = now;
    }
  }

  private write(frame: WireFrame): void {
    if (this.isClosed) {
      return;
    }
    const { clock } = this.options;
    const encoded = encodeFrame(frame);
    this.lastSentAt = clock();
    this.bytesSent += encoded.length;
    this.writer.write(encoded);
  }

  private handleChunk(chunk: Buffer): void {
    this.lastReceivedAt = this.options.clock();
    this.bytesReceived += chunk.length;
    for (const decoded of this.decoder.push(chunk)) {
      if (this.isClosed) {
        return;
      }
      if (decoded.kind === 'fault') {
        this.close(decoded.fault, decoded.detail);
        return;
      }
      this.handleFrame(decoded.frame);
    }
  }

  private handleFrame(frame: WireFrame): void {
    switch (frame.kind) {
      case 'hello':
        this.handleHello(frame);
        return;
      case 'proof':
        this.handleProof(frame.signature);
        return;
      case 'heartbeat':
        return;
      default:
        if (this.peer === undefined) {
          this.close(
            CloseReason.BadHello,
            `received ${frame.kind} before the handshake was complete`,
          );
          return;
        }
        this.recordActivity(frame, this.lastReceivedAt);
        this.options.events.onFrame(this, frame);
    }
  }

  private handleHello(frame: HelloFrame): void {
    if (this.peerHello !== undefined) {
      this.close(CloseReason.BadHello, 'received a second hello');
      return;
    }
    if (frame.version !== protocolVersion) {
      this.close(
        CloseReason.VersionMismatch,
        `protocol version ${frame.version}, this node uses ${protocolVersion}`,
      );
      return;
    }
    this.peerHello = frame;
    const { identity, secrets, side } = this.options;
    const signature = createProof(secrets, {
      verifierNonce: frame.nonce,
      signerNonce: this.nonce,
      signerServer: identity.server,
      signerSide: side,
    });
    this.write({ kind: 'proof', signature });
  }

  private handleProof(signature: Uint8Array): void {
    const hello = this.peerHello;
    if (hello === undefined || this.peer !== undefined) {
      this.close(CloseReason.BadHello, 'received a proof out of order');
      return;
    }
    const isValid = verifyProof(
      this.options.secrets,
      {
        verifierNonce: this.nonce,
        signerNonce: hello.nonce,
        signerServer: hello.identity.server,
        signerSide: this.options.side === 'dialed' ? 'accepted' : 'dialed',
      },
      signature,
    );
    if (!isValid) {
      this.close(CloseReason.BadProof, 'the peer secret does not match');
      return;
    }
    this.peer = hello.identity;
    this.options.events.onReady(this);
  }
}

/** Whether a frame belongs to a call. After such a frame, the connection must notice if the peer stops responding. */
function isCallFrame({ kind }: PeerFrame): boolean {
  return (
    kind.startsWith('request-') ||
    kind.startsWith('keyed-') ||
    kind.startsWith('body-') ||
    kind === 'answer'
  );
}
