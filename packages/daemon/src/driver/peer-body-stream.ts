import { Readable, Writable } from 'node:stream';

import type { BodyDirection, BodyFrame } from '@peridotspring/core';

/** Bytes that may be on the way before the receiver has consumed any. */
export const initialCreditBytes = 262_144;
/** The receiver returns credit in steps of this size, so that credits stay rare. */
const creditStepBytes = 65_536;
const largestChunkBytes = 65_536;

/** Identifies the body that a frame belongs to. */
export interface PeerBodyIdentity {
  readonly callId: number;
  readonly direction: BodyDirection;
}

export interface PeerBodyOptions {
  readonly identity: PeerBodyIdentity;
  readonly send: (frame: BodyFrame) => void;
  readonly closed: () => void;
}

/** A body that arrives from another node. */
export class PeerBodySource extends Readable {
  private receivedBytes = 0;
  private creditedBytes = 0;
  private hasEnded = false;

  public constructor(private readonly body: PeerBodyOptions) {
    super({ highWaterMark: initialCreditBytes });
  }

  /** Takes a frame about this body. */
  public frame(frame: BodyFrame): void {
    switch (frame.kind) {
      case 'body-chunk':
        this.receivedBytes += frame.bytes.length;
        this.push(frame.bytes);
        // A flowing stream hands the chunk on within `push`, without a call of `read`.
        this.returnCredit();
        return;
      case 'body-end':
        this.hasEnded = true;
        this.push(null);
        return;
      case 'body-cut':
        this.hasEnded = true;
        this.destroy(new Error('the sender cut the body'));
        return;
      case 'body-credit':
      case 'body-stop':
    }
  }

  public override _read(): void {
    this.returnCredit();
  }

  public override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    this.returnCredit();
    return chunk;
  }

  /** Everything that was received and no longer waits here has been consumed. */
  private returnCredit(): void {
    const consumed = this.receivedBytes - this.readableLength - this.creditedBytes;
    if (consumed < creditStepBytes || this.hasEnded || this.destroyed) {
      return;
    }
    this.creditedBytes += consumed;
    this.body.send({ ...this.body.identity, bytes: consumed, kind: 'body-credit' });
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.hasEnded) {
      this.body.send({ ...this.body.identity, kind: 'body-stop' });
    }
    this.body.closed();
    callback(error);
  }
}

/** A body that goes to another node, as fast as its credit allows. */
export class PeerBodySink extends Writable {
  private creditBytes = initialCreditBytes;
  private waiting: (() => void) | undefined;
  private hasEnded = false;

  public constructor(private readonly body: PeerBodyOptions) {
    super({ highWaterMark: largestChunkBytes });
  }

  /** Takes a frame about this body. */
  public frame(frame: BodyFrame): void {
    if (frame.kind === 'body-credit') {
      this.creditBytes += frame.bytes;
      const { waiting } = this;
      this.waiting = undefined;
      waiting?.();
    } else if (frame.kind === 'body-stop') {
      this.hasEnded = true;
      this.destroy(new Error('the receiver stopped reading the body'));
    }
  }

  public override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.sendFrom(chunk, 0, callback);
  }

  public override _final(callback: (error?: Error | null) => void): void {
    this.hasEnded = true;
    this.body.send({ ...this.body.identity, kind: 'body-end' });
    callback();
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.hasEnded) {
      this.body.send({ ...this.body.identity, kind: 'body-cut' });
    }
    this.body.closed();
    callback(error);
  }

  private sendFrom(chunk: Buffer, start: number, callback: () => void): void {
    let offset = start;
    while (offset < chunk.length) {
      const length = Math.min(chunk.length - offset, largestChunkBytes, this.creditBytes);
      if (length <= 0) {
        this.waiting = () => {
          this.sendFrom(chunk, offset, callback);
        };
        return;
      }
      const bytes = chunk.subarray(offset, offset + length);
      this.body.send({ ...this.body.identity, bytes, kind: 'body-chunk' });
      this.creditBytes -= length;
      offset += length;
    }
    callback();
  }
}
