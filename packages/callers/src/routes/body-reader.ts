import type { IncomingMessage } from 'node:http';

import { MemoryPlace } from '@peridotspring/mesh-core';
import type { CallerLimits, MemoryAccount, MemoryHold } from '@peridotspring/mesh-core';

import { BodyProgress } from '../body-progress.js';
import { announcesBody, collectBody } from '../request-body.js';
import type { BodyMemory, CollectedBody } from '../request-body.js';
import type { ParsedRequest } from './caller-connection.js';

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
    const progress = new BodyProgress([hold, request.hold], this.clock);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<ReadBody>((resolve) => {
      timer = setTimeout(resolve, endsAt - this.clock(), { kind: 'late' });
    });
    const memory: BodyMemory = {
      onRead: (byteCount) => {
        progress.onRead(byteCount);
      },
      signal: abort.signal,
      tryHold: (byteCount) => byteCount === hold.bytes || hold.tryResize(byteCount, this.clock()),
    };
    const body = await Promise.race([collectWhole(message, bodyBytes, memory), late]);
    clearTimeout(timer);
    this.reading.delete(requestNumber);
    progress.end();
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

  /** A whole body is passed on, so it can't be ended any more; frames to other nodes share it. */
  private keep(requestNumber: number, hold: MemoryHold, buffer: Uint8Array): void {
    hold.release();
    if (!this.holds.has(requestNumber) || buffer.length === 0) return;
    const place = MemoryPlace.CallerBody;
    this.holds.set(requestNumber, this.memory.share({ buffer, place }, this.clock()));
  }
}

async function collectWhole(
  message: IncomingMessage,
  bodyBytes: number,
  memory: BodyMemory,
): Promise<ReadBody> {
  const collected = await collectBody(message, bodyBytes, bodyBytes, memory);
  return collected.kind === 'longer' ? { kind: 'too-large' } : collected;
}
