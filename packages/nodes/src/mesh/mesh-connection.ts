import type { Socket } from 'node:net';

import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import { CorkedWriter } from '../corked-writer.js';
import { encodeMeshFrame, MeshFrameDecoder, meshProtocolVersion } from './mesh-frame-codec.js';
import type { MeshHelloFrame, MeshWireFrame } from './mesh-frame-codec.js';

/** Time limit for the hello of the other side; the slowest path between regions needs well under this. */
const helloTimeoutMilliseconds = 1_500;
/** Ping interval of a connection without pending answers. */
const idlePingIntervalMilliseconds = 3_000;
/** Ping interval of a connection with pending answers. */
const busyPingIntervalMilliseconds = 400;
/** Time after a ping without any received data after which a connection with pending answers is closed. */
const busyPongTimeoutMilliseconds = 1_200;
const idlePongTimeoutMilliseconds = 3_000;

export interface MeshConnectionEvents {
  readonly onHello: (connection: MeshConnection, hello: MeshHelloFrame) => void;
  readonly onFrame: (connection: MeshConnection, frame: MeshFrame) => void;
  readonly onClosed: (connection: MeshConnection, detail: string, code: string | undefined) => void;
}

/** A connection to another node. Owns its socket. */
export class MeshConnection {
  /** The other node; undefined until its hello has been received. */
  public peer: MeshNode | undefined;
  /** Number of calls sent on this connection whose answer has not been received. */
  public pendingAnswers = 0;
  private readonly decoder = new MeshFrameDecoder();
  private readonly openedAt: number;
  private lastReceivedAt: number;
  private pingedAt: number | undefined;
  private isClosed = false;
  /** Callbacks for the pings that have not been answered, in the order in which they were sent. */
  private readonly pongCallbacks: (() => void)[] = [];
  private readonly writer: CorkedWriter;

  public constructor(
    private readonly socket: Socket,
    /** The node that was dialed; undefined if the other side opened the connection. */
    public readonly dialedNode: MeshNode | undefined,
    private readonly clock: () => number,
    private readonly events: MeshConnectionEvents,
  ) {
    this.writer = new CorkedWriter(socket);
    this.openedAt = clock();
    this.lastReceivedAt = this.openedAt;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.handleChunk(chunk);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.close(error.message, error.code);
    });
    socket.on('close', () => {
      this.close('closed by the other side');
    });
  }

  public send(frame: MeshWireFrame): void {
    if (this.isClosed) return;
    this.writer.write(encodeMeshFrame(frame));
  }

  /** Sends a ping when one is due, and closes the connection when the other side does not respond in time. */
  public tick(now: number): void {
    if (this.peer === undefined) {
      if (now - this.openedAt > helloTimeoutMilliseconds) this.close('no hello received in time');
      return;
    }
    const isBusy = this.pendingAnswers > 0;
    if (this.pingedAt !== undefined) {
      const pongTimeout = isBusy ? busyPongTimeoutMilliseconds : idlePongTimeoutMilliseconds;
      if (now - this.pingedAt > pongTimeout) {
        this.close(`nothing received for ${Math.round(now - this.lastReceivedAt)} ms`);
      }
      return;
    }
    const pingInterval = isBusy ? busyPingIntervalMilliseconds : idlePingIntervalMilliseconds;
    if (now - this.lastReceivedAt < pingInterval) return;
    this.pingedAt = now;
    this.ping(() => undefined);
  }

  /** Calls back once the other side has read all frames sent so far, or the connection has closed. */
  public callWhenRead(callback: () => void): void {
    if (this.isClosed) callback();
    else this.ping(callback);
  }

  public close(detail: string, code?: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.events.onClosed(this, detail, code);
    for (const callback of this.pongCallbacks.splice(0)) callback();
  }

  /** Flushes written frames, then closes the connection. */
  public end(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.end();
  }

  private ping(onPong: () => void): void {
    this.pongCallbacks.push(onPong);
    this.send({ kind: 'ping' });
  }

  private handleChunk(chunk: Buffer): void {
    this.lastReceivedAt = this.clock();
    this.pingedAt = undefined;
    for (const decoded of this.decoder.push(chunk)) {
      if (this.isClosed) return;
      if (decoded.kind === 'fault') {
        this.close(decoded.detail);
        return;
      }
      this.handleFrame(decoded.frame);
    }
  }

  private handleFrame(frame: MeshWireFrame): void {
    switch (frame.kind) {
      case 'hello':
        if (frame.protocol !== meshProtocolVersion) {
          this.close(`protocol version ${frame.protocol}, this node uses ${meshProtocolVersion}`);
          return;
        }
        this.peer = frame.node;
        this.decoder.allowLargeFrames();
        this.events.onHello(this, frame);
        return;
      case 'ping':
        this.send({ kind: 'pong' });
        return;
      case 'pong':
        this.pongCallbacks.shift()?.();
        return;
      default:
        if (this.peer === undefined) this.close(`received ${frame.kind} before hello`);
        else this.events.onFrame(this, frame);
    }
  }
}
