import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Readable } from 'node:stream';

import { ByteAccumulator } from '@peridotspring/core';

/** A discarded body that exceeds this is considered endless, and its connection is closed. */
const maximumDiscardedBytes = 16_777_216;

/**
 * Number of chunks of a body, beyond one for each `bytesPerChunk` of it, after which the body counts as too long. Each
 * chunk takes processor time, however short it is, and an endless body of short chunks would take all of it.
 */
const maximumShortChunks = 16_384;
const bytesPerChunk = 64;

/** Longer bodies of known length get a buffer of their own at once. */
const reservedBodyBytes = 65_536;

/** The result of collecting the body of a response. */
export type CollectedResponse =
  | { readonly kind: 'whole'; readonly body: Uint8Array }
  /** The body exceeds the limit; the stream delivers all of it, from the first byte. */
  | { readonly kind: 'streamed'; readonly body: Readable }
  /** The body exceeds the limit and is discarded. */
  | { readonly kind: 'too-long' }
  /** The connection was closed before the end of the body. */
  | { readonly kind: 'cut' };

/** The limit on a collected body, and the handling of a longer one. */
export interface CollectionOptions {
  readonly limitBytes: number;
  /** With `discard`, the connection stays usable if the body ends within `maximumDiscardedBytes`. */
  readonly overflowAction: 'stream' | 'discard' | 'close';
}

/**
 * Collects the body of a response up to a limit. `onCollected` is called exactly once with the result.
 * `onEnded` is called exactly once after that, when the response has closed; its argument is false if
 * the body was incomplete.
 */
export class ResponseCollector {
  private readonly bytes: ByteAccumulator;
  private chunkCount = 0;
  private isSettled = false;

  public constructor(
    private readonly response: IncomingMessage,
    private readonly options: CollectionOptions,
    private readonly onCollected: (result: CollectedResponse) => void,
    private readonly onEnded: (isComplete: boolean) => void,
    /** Called after each chunk that was added to the buffer. */
    private readonly onBuffered: () => void = () => undefined,
  ) {
    this.bytes = new ByteAccumulator(options.limitBytes);
  }

  public start(): void {
    if (this.declaresBodyOfNoContent()) {
      this.endAtHead();
      return;
    }
    this.response.on('data', this.onData);
    this.response.on('end', () => {
      if (this.response.complete) this.settleComplete();
    });
    // 'close' follows an 'error' of the response; its handler determines whether the body was complete.
    this.response.on('error', () => undefined);
    this.response.on('close', () => {
      const isComplete = this.response.complete && this.response.readableEnded;
      if (isComplete) this.settleComplete();
      else this.settle({ kind: 'cut' });
      this.onEnded(isComplete);
    });
    const declaredLength = Number(this.response.headers['content-length'] ?? 0);
    if (this.hasNoBody()) return;
    if (declaredLength > this.options.limitBytes) this.handleOverflow();
    // Growing by doubling would leave as much garbage as the body takes.
    else if (declaredLength > reservedBodyBytes) this.bytes.reserve(declaredLength);
  }

  /** Memory that the buffer takes; 0 once the result has been handed over. */
  public get bufferedBytes(): number {
    return this.isSettled ? 0 : this.bytes.heldBytes;
  }

  /** Discards the collected chunks and closes the connection. */
  public abort(): void {
    this.response.off('data', this.onData);
    this.bytes.clear();
    this.response.destroy();
    this.settle({ kind: 'too-long' });
  }

  private readonly onData = (chunk: Buffer): void => {
    this.bytes.append(chunk);
    this.chunkCount += 1;
    if (this.chunkCount > maximumShortChunks + this.bytes.length / bytesPerChunk) {
      this.abort();
      return;
    }
    if (this.bytes.length > this.options.limitBytes) {
      this.handleOverflow();
      return;
    }
    this.onBuffered();
    // A short response has been parsed completely when its only chunk arrives. Settling now saves the
    // caller the wait for 'end' and 'close', which follow the cleanup of the connection.
    if (this.response.complete && this.response.readableLength === 0) this.settleComplete();
  };

  /** Whether the status is 204, which ends a response with its head, while the head declares a body (RFC 9112, section 6.3). */
  private declaresBodyOfNoContent(): boolean {
    const { headers, statusCode } = this.response;
    if (statusCode !== 204) return false;
    const declaredLength = Number(headers['content-length'] ?? 0);
    return declaredLength > 0 || headers['transfer-encoding'] !== undefined;
  }

  /** Some versions of Node.js read the declared body, so the connection can't carry another response. */
  private endAtHead(): void {
    this.response.on('error', () => undefined);
    this.response.on('close', () => {
      this.onEnded(true);
    });
    this.settleComplete();
    this.response.destroy();
  }

  /** The response to HEAD may declare the length of a body that is not sent. */
  private hasNoBody(): boolean {
    const { statusCode } = this.response;
    const method = (this.response as { req?: { method?: string } }).req?.method;
    return method === 'HEAD' || statusCode === 204 || statusCode === 304;
  }

  private handleOverflow(): void {
    this.response.off('data', this.onData);
    if (this.options.overflowAction === 'close') {
      this.abort();
      return;
    }
    if (this.options.overflowAction === 'discard') {
      this.discardRest();
      return;
    }
    const body = new PassThrough();
    // An unhandled 'error' event would end the process while nobody reads the body. Readers add their own
    // listener.
    body.on('error', () => undefined);
    body.write(this.bytes.take());
    this.response.pipe(body);
    this.response.on('close', () => {
      if (!this.response.readableEnded)
        body.destroy(new Error('upstream response aborted before the end of its body'));
    });
    body.on('close', () => {
      if (!body.readableEnded) this.response.destroy();
    });
    this.settle({ body, kind: 'streamed' });
  }

  private discardRest(): void {
    let receivedBytes = this.bytes.length;
    this.bytes.clear();
    this.response.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > maximumDiscardedBytes) this.response.destroy();
    });
    this.response.resume();
    this.settle({ kind: 'too-long' });
  }

  private settleComplete(): void {
    if (!this.isSettled) this.settle({ body: this.bytes.take(), kind: 'whole' });
  }

  private settle(result: CollectedResponse): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.onCollected(result);
  }
}
