import { Readable, Writable } from 'node:stream';

import type { BodyDirection, BodyFrame } from '@peridotspring/core';

/** Bytes that the sender may have in flight before the receiver has consumed any. */
export const initialCreditBytes = 262_144;
/**
 * The receiver returns credit only in steps of at least this size, to keep the number of credit
 * frames low.
 */
const creditStepBytes = 65_536;
const maximumChunkBytes = 65_536;

/** Identifies the body to which a frame belongs. */
export interface PeerBodyIdentity {
  readonly callId: number;
  readonly direction: BodyDirection;
}

export interface PeerBodyOptions {
  readonly identity: PeerBodyIdentity;
  readonly send: (frame: BodyFrame) => void;
  readonly onClosed: () => void;
}

/** A readable stream of a body that is received from another node. */
export class PeerBodySource extends Readable {
  private receivedBytes = 0;
  private creditedBytes = 0;
  private hasEnded = false;

  public constructor(private readonly options: PeerBodyOptions) {
    super({ highWaterMark: initialCreditBytes });
  }

  /** Handles a frame that belongs to this body. */
  public onFrame(frame: BodyFrame): void {
    switch (frame.kind) {
      case 'body-chunk':
        this.receivedBytes += frame.bytes.length;
        this.push(frame.bytes);
        // A stream in flowing mode passes the chunk on within `push`, without calling `read`.
        this.returnCredit();
        return;
      case 'body-end':
        this.hasEnded = true;
        this.push(null);
        return;
      case 'body-cut':
        this.hasEnded = true;
        this.destroy(new Error('the sending node aborted the body'));
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

  /**
   * Returns credit for consumed bytes: those that were received and are no longer buffered in this
   * stream.
   */
  private returnCredit(): void {
    const consumedBytes = this.receivedBytes - this.readableLength - this.creditedBytes;
    if (consumedBytes < creditStepBytes || this.hasEnded || this.destroyed) {
      return;
    }
    this.creditedBytes += consumedBytes;
    this.options.send({ ...this.options.identity, bytes: consumedBytes, kind: 'body-credit' });
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.hasEnded) {
      this.options.send({ ...this.options.identity, kind: 'body-stop' });
    }
    this.options.onClosed();
    callback(error);
  }
}

/**
 * A writable stream of a body that is sent to another node; it sends only as much as its credit
 * allows.
 */
export class PeerBodySink extends Writable {
  private creditBytes = initialCreditBytes;
  private resumeSending: (() => void) | undefined;
  private hasEnded = false;

  public constructor(private readonly options: PeerBodyOptions) {
    super({ highWaterMark: maximumChunkBytes });
  }

  /** Handles a frame that belongs to this body. */
  public onFrame(frame: BodyFrame): void {
    if (frame.kind === 'body-credit') {
      this.creditBytes += frame.bytes;
      const { resumeSending } = this;
      this.resumeSending = undefined;
      resumeSending?.();
    } else if (frame.kind === 'body-stop') {
      this.hasEnded = true;
      this.destroy(new Error('the receiving node stopped reading the body'));
    }
  }

  public override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.sendChunks(chunk, 0, callback);
  }

  public override _final(callback: (error?: Error | null) => void): void {
    this.hasEnded = true;
    this.options.send({ ...this.options.identity, kind: 'body-end' });
    callback();
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.hasEnded) {
      this.options.send({ ...this.options.identity, kind: 'body-cut' });
    }
    this.options.onClosed();
    callback(error);
  }

  private sendChunks(chunk: Buffer, start: number, callback: () => void): void {
    let offset = start;
    while (offset < chunk.length) {
      const length = Math.min(chunk.length - offset, maximumChunkBytes, this.creditBytes);
      if (length <= 0) {
        this.resumeSending = () => {
          this.sendChunks(chunk, offset, callback);
        };
        return;
      }
      const bytes = chunk.subarray(offset, offset + length);
      this.options.send({ ...this.options.identity, bytes, kind: 'body-chunk' });
      this.creditBytes -= length;
      offset += length;
    }
    callback();
  }
}
