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
  private consumedBytes = 0;
  private hasEnded = false;

  public constructor(private readonly body: PeerBodyOptions) {
    super({ highWaterMark: initialCreditBytes });
  }

  /** Takes a frame about this body. */
  public frame(frame: BodyFrame): void {
    switch (frame.kind) {
      case 'body-chunk':
        this.push(frame.bytes);
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
    const { identity, send } = this.body;
    const consumed = this.consumedBytes;
    if (consumed >= creditStepBytes) {
      this.consumedBytes = 0;
      send({ ...identity, bytes: consumed, kind: 'body-credit' });
    }
  }

  public override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    if (chunk instanceof Uint8Array) {
      this.consumedBytes += chunk.length;
      this._read();
    }
    return chunk;
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
