import type { IncomingMessage } from 'node:http';

import { MemoryPlace } from '@peridotspring/mesh-core';
import type { CallerLimits, MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { announcesBody, collectBody } from '../request-body.js';
import type { CollectedBody } from '../request-body.js';

/** Progress of a body is counted in such steps, so that a few bytes now and then don't keep its memory. */
const progressStepBytes = 65_536;

/** The result of reading a body before a request is delivered. */
export type ReadBody =
  | Exclude<CollectedBody, { readonly kind: 'longer' }>
  | { readonly kind: 'late' | 'none' | 'too-large' };

/** Reads the bodies of requests, and holds memory for each until its request has been answered. */
export class BodyReader {
  private readonly holds = new Map<number, MemoryHold>();

  public constructor(
    private readonly memory: MemoryAccount,
    private readonly clock: () => number,
  ) {}

  /** Reads a body until the given time, since a body may trickle in a byte at a time without end. */
  public async read(
    message: IncomingMessage,
    requestNumber: number,
    endsAt: number,
    { bodyBytes }: CallerLimits,
  ): Promise<ReadBody> {
    if (!announcesBody(message)) return { kind: 'none' };
    if (Number(message.headers['content-length'] ?? 0) > bodyBytes) return { kind: 'too-large' };
    const abort = new AbortController();
    const hold = this.openHold(abort);
    this.holds.set(requestNumber, hold);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<ReadBody>((resolve) => {
      timer = setTimeout(resolve, endsAt - this.clock(), { kind: 'late' });
    });
    const body = await Promise.race([this.collect(message, bodyBytes, hold, abort.signal), late]);
    clearTimeout(timer);
    if (body.kind === 'whole') this.keep(requestNumber, hold, body.bytes);
    else abort.abort();
    return body;
  }

  /** Gives back the memory of a body; its request has been answered, or its caller has gone. */
  public release(requestNumber: number): void {
    this.holds.get(requestNumber)?.release();
    this.holds.delete(requestNumber);
  }

  private openHold(abort: AbortController): MemoryHold {
    const end = (): void => {
      abort.abort();
    };
    return this.memory.open({ end, place: MemoryPlace.CallerBody }, this.clock());
  }

  private async collect(
    message: IncomingMessage,
    bodyBytes: number,
    hold: MemoryHold,
    signal: AbortSignal,
  ): Promise<ReadBody> {
    let unreportedBytes = 0;
    const collected = await collectBody(message, bodyBytes, bodyBytes, {
      onRead: (byteCount) => {
        unreportedBytes += byteCount;
        if (unreportedBytes < progressStepBytes) return;
        unreportedBytes = 0;
        hold.progressedAt = this.clock();
      },
      signal,
      tryHold: (byteCount) => byteCount === hold.bytes || hold.tryResize(byteCount, this.clock()),
    });
    return collected.kind === 'longer' ? { kind: 'too-large' } : collected;
  }

  /** A whole body is passed on, so it can't be ended any more; frames to other nodes share it. */
  private keep(requestNumber: number, hold: MemoryHold, buffer: Uint8Array): void {
    hold.release();
    if (!this.holds.has(requestNumber) || buffer.length === 0) return;
    const place = MemoryPlace.CallerBody;
    this.holds.set(requestNumber, this.memory.share({ buffer, place }, this.clock()));
  }
}
