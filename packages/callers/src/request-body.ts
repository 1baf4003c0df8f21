import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

import { ByteAccumulator } from '@peridotspring/core';

/** The result of reading a request's body; `cut` means that the connection closed before the end of the body. */
export type CollectedBody =
  | { readonly kind: 'whole'; readonly bytes: Uint8Array }
  /** The body is longer than the buffer limit; the stream yields all of it, from its first byte. */
  | { readonly kind: 'longer'; readonly stream: Readable }
  | { readonly kind: 'cut' }
  /** There was no memory for the body, or it was taken back in favour of others. What was read is discarded. */
  | { readonly kind: 'no-memory' };

/** The memory of one body while it is read. */
export interface BodyMemory {
  /** Whether there is memory for a body of the length. To be called before that much is held. */
  tryHold(byteCount: number): boolean;
  /** To be called for each chunk. */
  onRead(byteCount: number): void;
  /** Aborted when the memory has been taken back. */
  readonly signal: AbortSignal;
}

const unlimitedMemory: BodyMemory = {
  onRead: () => undefined,
  signal: new AbortController().signal,
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
 * Reads a body with a known length within the buffer limit. Listeners take about half the time of the
 * iterator below, and are enough here since no part of the body has to be left for a stream.
 */
function collectBodyOfKnownLength(
  request: IncomingMessage,
  length: number,
  memory: BodyMemory,
): Promise<CollectedBody> {
  if (!memory.tryHold(length)) return Promise.resolve({ kind: 'no-memory' });
  return new Promise((resolve) => {
    const bytes = new ByteAccumulator(length);
    if (length > reservedBodyBytes) bytes.reserve(length);
    memory.signal.addEventListener('abort', () => {
      bytes.clear();
      resolve({ kind: 'no-memory' });
    });
    request.on('data', (chunk: Buffer) => {
      if (memory.signal.aborted) return;
      memory.onRead(chunk.length);
      bytes.append(chunk);
      // For a short body, the parser has reached its end before the stream emits its only chunk.
      if (request.complete && request.readableLength === 0) {
        resolve({ bytes: bytes.take(), kind: 'whole' });
      }
    });
    request.on('end', () => {
      resolve(request.complete ? { bytes: bytes.take(), kind: 'whole' } : { kind: 'cut' });
    });
    // An error of the request is always followed by 'close'.
    request.on('error', () => undefined);
    request.on('close', () => {
      resolve({ kind: 'cut' });
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
  const contentLength = request.headers['content-length'];
  if (contentLength !== undefined && Number(contentLength) <= bufferLimitBytes)
    return collectBodyOfKnownLength(request, Number(contentLength), memory);
  // The iterator must not destroy the request when it is abandoned early: that would close the connection
  // before the caller can read a response.
  const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const bytes = new ByteAccumulator(bufferLimitBytes);
  const noMemory: CollectedBody = { kind: 'no-memory' };
  memory.signal.addEventListener('abort', () => {
    bytes.clear();
  });
  try {
    for (;;) {
      const next = await iterator.next();
      if (memory.signal.aborted) return noMemory;
      if (next.done === true) {
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
          stream: Readable.from(streamBody(request, bytes.take(), iterator, maximumBytes)),
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
): AsyncGenerator<Uint8Array> {
  let byteCount = start.length;
  yield start;
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) {
      break;
    }
    byteCount += next.value.length;
    if (byteCount > maximumBytes) {
      throw new Error('request body exceeds the limit');
    }
    yield next.value;
  }
  if (!request.complete) {
    throw new Error('request body truncated by the caller');
  }
}
