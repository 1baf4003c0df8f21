import type { IncomingMessage } from 'node:http';

import { MemoryPlace } from '@peridotspring/mesh-core';
import type { CallerLimits, MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { announcesBody, collectBody } from '../request-body.js';
import type { CollectedBody } from '../request-body.js';
import type { ParsedRequest } from './caller-connection.js';

/** Progress of a body is counted in such steps, so that a few bytes now and then don't keep its memory. */
const progressStepBytes = 65_536;

/** Whether the head of a request announces a body beyond the limit. */
export function announcesLongBody(
  { headers }: IncomingMessage,
  { bodyBytes }: CallerLimits,
): boolean {
  return Number(headers['content-length'] ?? 0) > bodyBytes;
}

/** The result of reading a body before a request is delivered. */
export type ReadBody =
  Exclude<CollectedBody, { readonly kind: 'longer' }> | { readonly kind: 'late' | 'none' };

/** Reads the bodies of requests, and holds memory for each until its request has been answered. */
export class BodyReader {
  private readonly holds = new Map<number, MemoryHold>();
  /** Bodies that are being read, by request number. */
  private readonly reading = new Map<number, AbortController>();

  public constructor(
    private readonly memory: MemoryAccount,
    private readonly clock: () => number,
  ) {}

  /** Reads a body until the given time, since a body may trickle in a byte at a time without end. */
  public async read(
    request: ParsedRequest,
    endsAt: number,
    { bodyBytes }: CallerLimits,
  ): Promise<ReadBody> {
    const { message, requestNumber } = request;
    if (!announcesBody(message)) return { kind: 'none' };
    const abort = new AbortController();
    const hold = this.openHold(abort);
    this.holds.set(requestNumber, hold);
    this.reading.set(requestNumber, abort);
    request.hold.progressedAt = this.clock();
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<ReadBody>((resolve) => {
      timer = setTimeout(resolve, endsAt - this.clock(), { kind: 'late' });
    });
    const body = await Promise.race([this.collect(request, bodyBytes, hold, abort.signal), late]);
    clearTimeout(timer);
    this.reading.delete(requestNumber);
    request.hold.progressedAt = Infinity;
    if (body.kind === 'whole') this.keep(requestNumber, hold, body.bytes);
    else abort.abort();
    return body;
  }

  /** Gives up a body that is being read, in favour of others. */
  public end(requestNumber: number): void {
    this.reading.get(requestNumber)?.abort();
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
    request: ParsedRequest,
    bodyBytes: number,
    hold: MemoryHold,
    signal: AbortSignal,
  ): Promise<ReadBody> {
    let unreportedBytes = 0;
    const collected = await collectBody(request.message, bodyBytes, bodyBytes, {
      onRead: (byteCount) => {
        unreportedBytes += byteCount;
        if (unreportedBytes < progressStepBytes) return;
        unreportedBytes = 0;
        hold.progressedAt = this.clock();
        request.hold.progressedAt = hold.progressedAt;
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
