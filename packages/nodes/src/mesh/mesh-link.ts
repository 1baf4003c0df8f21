import type { Socket } from 'node:net';

import type { MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import { encodeMeshFrame, MeshFrameDecoder, meshProtocolVersion } from './mesh-frame-codec.js';
import type { MeshHelloFrame, MeshWireFrame } from './mesh-frame-codec.js';

/** Time for the first frame of the other side; the slowest path between regions takes well under it. */
const helloMilliseconds = 1_500;
/** An idle connection is checked this often. */
const idlePingMilliseconds = 3_000;
/** A connection on which answers are due is checked this often. */
const busyPingMilliseconds = 400;
/** Silence after a ping that ends a connection on which answers are due. */
const busySilenceMilliseconds = 1_200;
const idleSilenceMilliseconds = 3_000;

export interface MeshLinkEvents {
  readonly hello: (link: MeshLink, hello: MeshHelloFrame) => void;
  readonly frame: (link: MeshLink, frame: MeshFrame) => void;
  readonly closed: (link: MeshLink, detail: string, code: string | undefined) => void;
}

/** One connection to another node. Owns its socket. */
export class MeshLink {
  /** Known once the other side has said hello. */
  public peer: MeshNode | undefined;
  /** Answers that this side waits for. */
  public awaited = 0;
  private readonly decoder = new MeshFrameDecoder();
  private readonly openedAt: number;
  private lastReceivedAt: number;
  private pingedAt: number | undefined;
  private isClosed = false;
  /** What waits for the answers to the pings in progress, in their order. */
  private readonly pings: (() => void)[] = [];
  private isCorked = false;

  public constructor(
    private readonly socket: Socket,
    /** The node that was dialed; undefined if the other side dialed. */
    public readonly dialed: MeshNode | undefined,
    private readonly clock: () => number,
    private readonly events: MeshLinkEvents,
  ) {
    this.openedAt = clock();
    this.lastReceivedAt = this.openedAt;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
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
    const { socket } = this;
    if (!this.isCorked) {
      // Frames of one turn of the event loop leave in one system call.
      this.isCorked = true;
      socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        socket.uncork();
      });
    }
    socket.write(encodeMeshFrame(frame));
  }

  /** Checks whether the other side is alive. */
  public tick(now: number): void {
    if (this.peer === undefined) {
      if (now - this.openedAt > helloMilliseconds) this.close('no hello in time');
      return;
    }
    const isBusy = this.awaited > 0;
    if (this.pingedAt !== undefined) {
      const silence = isBusy ? busySilenceMilliseconds : idleSilenceMilliseconds;
      if (now - this.pingedAt > silence) {
        this.close(`nothing received for ${Math.round(now - this.lastReceivedAt)} ms`);
      }
      return;
    }
    const interval = isBusy ? busyPingMilliseconds : idlePingMilliseconds;
    if (now - this.lastReceivedAt < interval) return;
    this.pingedAt = now;
    this.ping(() => undefined);
  }

  /** Calls back once the other side has read what was sent before, or the connection has ended. */
  public whenRead(action: () => void): void {
    if (this.isClosed) action();
    else this.ping(action);
  }

  public close(detail: string, code?: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.events.closed(this, detail, code);
    for (const waiting of this.pings.splice(0)) waiting();
  }

  /** Sends what is written and closes the connection. */
  public end(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.end();
  }

  private ping(answered: () => void): void {
    this.pings.push(answered);
    this.send({ kind: 'ping' });
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = this.clock();
    this.pingedAt = undefined;
    for (const decoded of this.decoder.push(chunk)) {
      if (this.isClosed) return;
      if (decoded.kind === 'fault') {
        this.close(decoded.detail);
        return;
      }
      this.accept(decoded.frame);
    }
  }

  private accept(frame: MeshWireFrame): void {
    switch (frame.kind) {
      case 'hello':
        if (frame.protocol !== meshProtocolVersion) {
          this.close(`protocol ${frame.protocol}, this node speaks ${meshProtocolVersion}`);
          return;
        }
        this.peer = frame.node;
        this.decoder.greeted();
        this.events.hello(this, frame);
        return;
      case 'ping':
        this.send({ kind: 'pong' });
        return;
      case 'pong':
        this.pings.shift()?.();
        return;
      default:
        if (this.peer === undefined) this.close(`${frame.kind} before hello`);
        else this.events.frame(this, frame);
    }
  }
}
