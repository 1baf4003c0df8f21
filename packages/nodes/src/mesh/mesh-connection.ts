import type { Socket } from 'node:net';

import {
  peerConnectionBytes,
  ConnectionAction,
  ConnectionMonitor,
  MemoryPlace,
} from '@peridotspring/mesh-core';
import type { MemoryAccount, MemoryHold, MeshFrame, MeshNode } from '@peridotspring/mesh-core';

import { CorkedWriter } from '../corked-writer.js';
import {
  encodeMeshFrame,
  encodeMeshFrameInParts,
  MeshFrameDecoder,
  meshProtocolVersion,
} from './mesh-frame-codec.js';
import type { MeshHelloFrame, MeshWireFrame } from './mesh-frame-codec.js';
import type { LinkPacer, PacedStream } from './link-pacer.js';

/** Time limit for the hello of the other side; the slowest path between regions needs well under this. */
const helloTimeoutMilliseconds = 1_500;
/** Longer bodies are written without copying them into a frame. */
const longBodyBytes = 16_384;

export interface MeshConnectionEvents {
  readonly onHello: (connection: MeshConnection, hello: MeshHelloFrame) => void;
  readonly onFrame: (connection: MeshConnection, frame: MeshFrame) => void;
  /** The connection may have gone silent, so another one should be opened in its place. */
  readonly onSuspected: (connection: MeshConnection) => void;
  /** The suspected connection has shown that it works. */
  readonly onConfirmed: (connection: MeshConnection) => void;
  readonly onClosed: (connection: MeshConnection, detail: string, code: string | undefined) => void;
}

/** A connection to another node. Owns its socket. */
export class MeshConnection {
  /** The other node; undefined until its hello has been received. */
  public peer: MeshNode | undefined;
  /** Identifies the connection on both sides: the dialing node, its incarnation and its count of dials. */
  public id: string | undefined;
  private readonly monitor: ConnectionMonitor;
  private readonly decoder: MeshFrameDecoder;
  /** Memory of the long frame that is being read. */
  private inputHold: MemoryHold | undefined;
  /** Memory of the connection, of an incomplete short frame, and of short frames that the other side has not read. */
  private readonly hold: MemoryHold;
  /** Bytes of long bodies that are queued, which have holds of their own. */
  private longBytesQueued = 0;
  private readonly openedAt: number;
  private isClosed = false;
  /** Callbacks for the pings that have not been answered, in the order in which they were sent. */
  private readonly pongCallbacks: (() => void)[] = [];
  private readonly writer: CorkedWriter;
  /** Undefined if the rate of the machine's link is not known. */
  private readonly pacedStream: PacedStream | undefined;

  public constructor(
    private readonly socket: Socket,
    /** The node that was dialed; undefined if the other side opened the connection. */
    public readonly dialedNode: MeshNode | undefined,
    /** Identifier of the connection to the dialed node that this one is opened in place of. */
    public readonly replacedId: string | undefined,
    private readonly clock: () => number,
    private readonly memory: MemoryAccount,
    connectionMemory: MemoryAccount,
    private readonly events: MeshConnectionEvents,
    linkPacer?: LinkPacer,
  ) {
    this.writer = new CorkedWriter(socket);
    this.pacedStream = linkPacer?.createStream((bytes, onFlushed) => {
      this.writer.write(bytes, onFlushed);
    });
    this.decoder = new MeshFrameDecoder({
      end: () => this.inputHold?.release(),
      tryBegin: (length) => {
        this.inputHold = memory.open({ place: MemoryPlace.PeerInput }, clock());
        return this.inputHold.tryResize(length, clock());
      },
    });
    this.openedAt = clock();
    const end = (): void => {
      this.close('no memory for what the other side sends or leaves unread');
    };
    this.hold = connectionMemory.open({ end, place: MemoryPlace.PeerConnection }, this.openedAt);
    this.hold.resize(peerConnectionBytes);
    this.monitor = new ConnectionMonitor(this.openedAt);
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

  /** Whether an answer to a ping is overdue. */
  public get isSilent(): boolean {
    return this.monitor.isSilent;
  }

  public send(frame: MeshWireFrame): void {
    if (this.isClosed) return;
    const body = longBodyOf(frame);
    if (body === undefined) this.write(encodeMeshFrame(frame));
    else if (!this.trySendInParts(frame, body)) return;
    if (frame.kind === 'start') this.monitor.onRequestSent(this.clock());
    else if (frame.kind === 'cancel') this.monitor.onRequestCancelled();
  }

  /** Sends a ping at the next tick. */
  public requestCheck(): void {
    this.monitor.requestCheck();
  }

  /**
   * Sends a ping when one is due, and reports or closes the connection when the other side does not respond in time.
   * `hasStalled` tells that this process did not run for a while.
   */
  public tick(now: number, hasStalled: boolean): void {
    if (this.peer === undefined) {
      if (now - this.openedAt > helloTimeoutMilliseconds) this.close('no hello received in time');
      return;
    }
    this.updateHold();
    const action = this.monitor.nextAction(now, hasStalled);
    switch (action) {
      case ConnectionAction.None:
        return;
      case ConnectionAction.Check:
        this.ping(() => undefined);
        return;
      case ConnectionAction.Replace:
        this.events.onSuspected(this);
        return;
      case ConnectionAction.Close:
        this.close(`nothing received for ${Math.round(this.monitor.quietMilliseconds(now))} ms`);
    }
  }
  /** Calls back once the other side has read all frames sent so far, or the connection has closed. */
  public callWhenRead(callback: () => void): void {
    if (this.isClosed) callback();
    else this.ping(callback);
  }

  public close(detail: string, code?: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.pacedStream?.close();
    this.decoder.close();
    this.hold.release();
    this.socket.destroy();
    this.events.onClosed(this, detail, code);
    for (const callback of this.pongCallbacks.splice(0)) callback();
  }

  /** Flushes written frames, then closes the connection. */
  public end(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.pacedStream?.flush();
    this.socket.end();
  }

  private write(bytes: Uint8Array, onFlushed?: () => void): void {
    this.monitor.onSent(bytes.length);
    (this.pacedStream ?? this.writer).write(bytes, onFlushed);
    this.updateHold();
  }

  /** Counts what is queued or incomplete. Nodes that have named themselves are refused no frame, but may be closed for others. */
  private updateHold(): void {
    const { hold, peer, socket } = this;
    const queuedBytes = socket.writableLength + (this.pacedStream?.queuedBytes ?? 0);
    const shortBytes = Math.max(0, queuedBytes - this.longBytesQueued) + this.decoder.bufferedBytes;
    const bytes = peerConnectionBytes + shortBytes;
    if (bytes === hold.bytes) return;
    if (peer === undefined && this.dialedNode === undefined) {
      if (!hold.tryResize(bytes, this.clock())) this.close('no memory for a frame before hello');
      return;
    }
    const isStalled = bytes > hold.bytes && Number.isFinite(hold.progressedAt);
    if (!isStalled) hold.progressedAt = shortBytes === 0 ? Infinity : this.clock();
    hold.resize(bytes);
  }

  /** Writes a frame with a long body, which counts until the other side has read it. Returns false if it was replaced. */
  private trySendInParts(frame: MeshWireFrame, body: Uint8Array): boolean {
    const end = (): void => {
      this.close('the other side reads too slowly');
    };
    const options = { buffer: body, end, place: MemoryPlace.PeerOutput };
    const now = this.clock();
    // The entry holds the body of a request already; an answer may find no room.
    const hold =
      frame.kind === 'answered'
        ? this.memory.tryShare(options, now)
        : this.memory.share(options, now);
    if (hold === undefined && frame.kind === 'answered') {
      const { callId, load } = frame;
      this.send({ callId, detail: 'no memory for the answer', kind: 'failed', load });
      return false;
    }
    const [head] = encodeMeshFrameInParts(frame, body);
    this.longBytesQueued += body.length;
    this.write(head);
    this.write(body, () => {
      this.longBytesQueued -= body.length;
      hold?.release();
    });
    return true;
  }

  private ping(onPong: () => void): void {
    this.pongCallbacks.push(onPong);
    this.monitor.onCheckSent(this.clock());
    this.send({ kind: 'ping' });
  }

  private handleChunk(chunk: Buffer): void {
    this.monitor.onReceived(this.clock());
    for (const decoded of this.decoder.push(chunk)) {
      if (this.isClosed) return;
      if (decoded.kind === 'fault') {
        this.close(decoded.detail);
        return;
      }
      this.handleFrame(decoded.frame);
    }
    this.updateHold();
  }

  private handlePong(): void {
    const wasSilent = this.monitor.isSilent;
    this.monitor.onCheckAnswered(this.clock());
    if (wasSilent) this.events.onConfirmed(this);
    this.pongCallbacks.shift()?.();
  }

  private handleFrame(frame: MeshWireFrame): void {
    switch (frame.kind) {
      case 'hello':
        if (frame.protocol !== meshProtocolVersion) {
          this.close(`protocol version ${frame.protocol}, this node uses ${meshProtocolVersion}`);
          return;
        }
        this.peer = frame.node;
        this.hold.progressedAt = Infinity;
        this.decoder.allowLargeFrames();
        this.events.onHello(this, frame);
        return;
      case 'ping':
        this.send({ kind: 'pong' });
        return;
      case 'pong':
        this.handlePong();
        return;
      default:
        if (this.peer === undefined) {
          this.close(`received ${frame.kind} before hello`);
          return;
        }
        if (isReply(frame)) this.monitor.onReplyReceived(this.clock());
        this.events.onFrame(this, frame);
    }
  }
}

/** The body of a request or an answer, if it is long. */
function longBodyOf(frame: MeshWireFrame): Uint8Array | undefined {
  if (frame.kind !== 'start' && frame.kind !== 'answered') return undefined;
  return frame.body !== undefined && frame.body.length > longBodyBytes ? frame.body : undefined;
}

function isReply({ kind }: MeshFrame): boolean {
  return kind === 'answered' || kind === 'declined' || kind === 'failed';
}
