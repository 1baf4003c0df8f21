import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

import { ByteAccumulator } from '@peridotspring/core';
import { hasTrailers } from '@peridotspring/http-server';

/** The result of reading a request's body; `cut` means that the connection closed before the end of the body. */
export type CollectedBody =
  | { readonly kind: 'whole'; readonly bytes: Uint8Array }
  /** The body is longer than the buffer limit; the stream yields all of it, from its first byte. */
  | { readonly kind: 'longer'; readonly stream: Readable }
  /** The body is longer than the limit, and is not streamed. */
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' }
  /** Fields follow the body, which are not passed on. */
  | { readonly kind: 'trailers' }
  /** There was no memory for the body, or it was taken back in favour of others. What was read is discarded. */
  | { readonly kind: 'no-memory' };

/** The memory of one body while it is read. */
export interface BodyMemory {
  /** Whether there is memory for a body of the length. To be called before that much is held. */
  tryHold(byteCount: number): boolean;
  /** To be called for each chunk. */
  onRead(byteCount: number): void;
  /** Aborted when the memory has been taken back. Absent if the request itself ends then. */
  readonly signal?: AbortSignal;
}

const unlimitedMemory: BodyMemory = {
  onRead: () => undefined,
  tryHold: () => true,
};
/** Shorter bodies mostly come in one chunk, which needs no buffer of its own. */
const reservedBodyBytes = 65_536;

/** Whether the request's headers announce a body. */
export function announcesBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return (
    request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
  );
}

/**
 * Reads a body that is not streamed if it is longer than the limit. Listeners take about half the time of the iterator below, and
 * less than that for short chunks. `length` is 0 if it is not known.
 */
function collectWithinLimit(
  request: IncomingMessage,
  length: number,
  limitBytes: number,
  memory: BodyMemory,
): Promise<CollectedBody> {
  if (length > 0 && !memory.tryHold(length)) return Promise.resolve({ kind: 'no-memory' });
  return new Promise((resolve) => {
    const bytes = new ByteAccumulator(length === 0 ? limitBytes : length);
    if (length > reservedBodyBytes) bytes.reserve(length);
    let isEnded = false;
    const end = (body: CollectedBody): void => {
      isEnded = true;
      resolve(body);
    };
    const giveUp = (kind: 'no-memory' | 'too-large'): void => {
      bytes.clear();
      end({ kind });
    };
    memory.signal?.addEventListener('abort', () => {
      if (!isEnded) giveUp('no-memory');
    });
    request.on('data', (chunk: Buffer) => {
      if (isEnded) return;
      memory.onRead(chunk.length);
      if (bytes.length + chunk.length > limitBytes) giveUp('too-large');
      else if (length === 0 && !memory.tryHold(bytes.heldBytesAfter(chunk.length)))
        giveUp('no-memory');
      else bytes.append(chunk);
      // For a short body, the parser has reached its end before the stream emits its only chunk.
      if (length > 0 && request.complete && request.readableLength === 0)
        end({ bytes: bytes.take(), kind: 'whole' });
    });
    request.on('end', () => {
      if (isEnded) return;
      if (hasTrailers(request)) end({ kind: 'trailers' });
      else end(request.complete ? { bytes: bytes.take(), kind: 'whole' } : { kind: 'cut' });
    });
    // An error of the request is always followed by 'close'.
    request.on('error', () => undefined);
    request.on('close', () => {
      if (!isEnded) end({ kind: 'cut' });
    });
  });
}

/**
 * Buffers a body up to `bufferLimitBytes`. A longer body is returned as a stream, which fails when it exceeds
 * `maximumBytes`.
 */
export async function collectBody(
  request: IncomingMessage,
  bufferLimitBytes: number,
  maximumBytes: number,
  memory = unlimitedMemory,
): Promise<CollectedBody> {
  const length = Number(request.headers['content-length'] ?? 0);
  const isShort = length > 0 && length <= bufferLimitBytes;
  if (isShort || bufferLimitBytes === maximumBytes)
    return collectWithinLimit(request, length, bufferLimitBytes, memory);
  // The iterator must not destroy the request when it is abandoned early: that would close the connection
  // before the caller can read a response.
  const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const bytes = new ByteAccumulator(bufferLimitBytes);
  const noMemory: CollectedBody = { kind: 'no-memory' };
  memory.signal?.addEventListener('abort', () => {
    bytes.clear();
  });
  try {
    for (;;) {
      const next = await iterator.next();
      if (memory.signal?.aborted === true) return noMemory;
      if (next.done === true) {
        if (hasTrailers(request)) return { kind: 'trailers' };
        return request.complete ? { bytes: bytes.take(), kind: 'whole' } : { kind: 'cut' };
      }
      if (!memory.tryHold(bytes.heldBytesAfter(next.value.length))) {
        bytes.clear();
        return noMemory;
      }
      memory.onRead(next.value.length);
      bytes.append(next.value);
      if (bytes.length > bufferLimitBytes) {
        return {
          kind: 'longer',
          stream: Readable.from(streamBody(request, bytes.take(), iterator, maximumBytes, memory)),
        };
      }
    }
  } catch {
    return { kind: 'cut' };
  }
}

async function* streamBody(
  request: IncomingMessage,
  start: Uint8Array,
  iterator: AsyncIterator<Buffer>,
  maximumBytes: number,
  memory: BodyMemory,
): AsyncGenerator<Uint8Array> {
  let byteCount = start.length;
  yield start;
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) {
      break;
    }
    memory.onRead(next.value.length);
    byteCount += next.value.length;
    if (byteCount > maximumBytes) {
      throw new Error('request body exceeds the limit');
    }
    yield next.value;
  }
  if (hasTrailers(request)) {
    throw new Error('fields follow the request body');
  }
  if (!request.complete) {
    throw new Error('request body truncated by the caller');
  }
}
