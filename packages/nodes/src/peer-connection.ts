import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';

import type { NodeIdentity, PeerFrame } from '@peridotspring/core';

import { encodeFrame, FrameDecoder } from './frame-codec.js';
import { createProof, verifyProof } from './peer-authentication.js';
import type { ConnectionSide, PeerSecrets } from './peer-authentication.js';
import { protocolVersion } from './wire-frames.js';
import type { HelloFrame, WireFrame } from './wire-frames.js';

/** Why a connection ended. Each has a counter. */
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
  VersionMismatch: 'version-mismatch',
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

const heartbeatAfterMilliseconds = 1_000;
const silenceLimitMilliseconds = 5_000;
/**
 * A connection without calls for this long sends no heartbeats: a node pings another member each
 * second, and heartbeats on all those connections would cost more than the pings.
 */
const activeMilliseconds = 10_000;
const idleLimitMilliseconds = 60_000;
const handshakeLimitMilliseconds = 3_000;
const nonceBytes = 16;

export interface PeerConnectionEvents {
  readonly ready: (connection: PeerConnection) => void;
  readonly frame: (connection: PeerConnection, frame: PeerFrame) => void;
  readonly closed: (connection: PeerConnection, reason: CloseReason, detail: string) => void;
  readonly drained: (connection: PeerConnection) => void;
}

export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly side: ConnectionSide;
  readonly identity: NodeIdentity;
  readonly secrets: PeerSecrets;
  readonly events: PeerConnectionEvents;
  readonly clock: () => number;
}

/** One authenticated connection to another node. Owns its socket. */
export class PeerConnection {
  /** Known once the other side has proved itself. */
  public peer: NodeIdentity | undefined;
  public bytesSent = 0;
  public bytesReceived = 0;

  private readonly decoder = new FrameDecoder();
  private readonly nonce = randomBytes(nonceBytes);
  private otherHello: HelloFrame | undefined;
  private isClosed = false;
  private isCorked = false;
  private lastReceivedAt: number;
  private lastSentAt: number;
  /** When the last frame but a heartbeat passed. */
  private lastUsedAt: number;
  /** When the last frame of a call passed. */
  private lastCallAt = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: PeerConnectionOptions) {
    const now = options.clock();
    this.lastReceivedAt = now;
    this.lastSentAt = now;
    this.lastUsedAt = now;
    const { socket } = options;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', (error) => {
      this.close(CloseReason.SocketError, error.message);
    });
    socket.on('close', () => {
      this.close(CloseReason.ClosedByOther, '');
    });
    socket.on('drain', () => {
      options.events.drained(this);
    });
    this.write({
      identity: options.identity,
      kind: 'hello',
      nonce: this.nonce,
      version: protocolVersion,
    });
  }

  /** Bytes that wait to be written to the network. */
  public get bufferedBytes(): number {
    return this.options.socket.writableLength;
  }

  public send(frame: PeerFrame): void {
    this.noteUse(frame, this.options.clock());
    this.write(frame);
  }

  /** Sends a heartbeat or closes the connection, as the time demands. */
  public tick(now: number): void {
    if (this.peer === undefined) {
      if (now - this.lastReceivedAt > handshakeLimitMilliseconds) {
        this.close(CloseReason.Silent, 'no complete handshake');
      }
      return;
    }
    if (now - this.lastUsedAt > idleLimitMilliseconds) {
      this.close(CloseReason.Idle, '');
      return;
    }
    if (now - this.lastCallAt > activeMilliseconds) {
      // The other side sends no heartbeats either, so its silence starts to count with the next call.
      this.lastReceivedAt = now;
      return;
    }
    if (now - this.lastReceivedAt > silenceLimitMilliseconds) {
      this.close(CloseReason.Silent, `nothing received for ${now - this.lastReceivedAt} ms`);
      return;
    }
    if (now - this.lastSentAt >= heartbeatAfterMilliseconds) {
      this.write({ kind: 'heartbeat' });
    }
  }

  public close(reason: CloseReason = CloseReason.LocalClose, detail = ''): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.options.socket.destroy();
    this.options.events.closed(this, reason, detail);
  }

  private noteUse(frame: PeerFrame, now: number): void {
    this.lastUsedAt = now;
    if (isCallFrame(frame)) {
      this.lastCallAt = now;
    }
  }

  private write(frame: WireFrame): void {
    if (this.isClosed) {
      return;
    }
    const { clock, socket } = this.options;
    const encoded = encodeFrame(frame);
    this.lastSentAt = clock();
    this.bytesSent += encoded.length;
    if (!this.isCorked) {
      // Frames of one turn of the event loop leave in one system call.
      this.isCorked = true;
      socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        socket.uncork();
      });
    }
    socket.write(encoded);
  }

  private receive(chunk: Buffer): void {
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
      this.accept(decoded.frame);
    }
  }

  private accept(frame: WireFrame): void {
    switch (frame.kind) {
      case 'hello':
        this.acceptHello(frame);
        return;
      case 'proof':
        this.acceptProof(frame.signature);
        return;
      case 'heartbeat':
        return;
      default:
        if (this.peer === undefined) {
          this.close(CloseReason.BadHello, `${frame.kind} before the handshake was complete`);
          return;
        }
        this.noteUse(frame, this.lastReceivedAt);
        this.options.events.frame(this, frame);
    }
  }

  private acceptHello(frame: HelloFrame): void {
    if (this.otherHello !== undefined) {
      this.close(CloseReason.BadHello, 'second hello');
      return;
    }
    if (frame.version !== protocolVersion) {
      this.close(
        CloseReason.VersionMismatch,
        `protocol version ${frame.version}, this node speaks ${protocolVersion}`,
      );
      return;
    }
    this.otherHello = frame;
    const { identity, secrets, side } = this.options;
    const signature = createProof(secrets, {
      otherNonce: frame.nonce,
      ownNonce: this.nonce,
      server: identity.server,
      side,
    });
    this.write({ kind: 'proof', signature });
  }

  private acceptProof(signature: Uint8Array): void {
    const hello = this.otherHello;
    if (hello === undefined || this.peer !== undefined) {
      this.close(CloseReason.BadHello, 'proof out of order');
      return;
    }
    const isValid = verifyProof(
      this.options.secrets,
      {
        otherNonce: this.nonce,
        ownNonce: hello.nonce,
        server: hello.identity.server,
        side: this.options.side === 'dialed' ? 'accepted' : 'dialed',
      },
      signature,
    );
    if (!isValid) {
      this.close(CloseReason.BadProof, 'the peer secret does not match');
      return;
    }
    this.peer = hello.identity;
    this.options.events.ready(this);
  }
}

/** Whether somebody waits for the other side, so that its silence has to be noticed. */
function isCallFrame({ kind }: PeerFrame): boolean {
  return (
    kind.startsWith('request-') ||
    kind.startsWith('keyed-') ||
    kind.startsWith('body-') ||
    kind === 'answer'
  );
}
