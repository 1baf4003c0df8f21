import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

/** What became of reading a request's body. */
export type CollectedBody =
  | { readonly kind: 'whole'; readonly bytes: Uint8Array }
  /** The body is longer than the limit; the stream gives all of it, from its first byte. */
  | { readonly kind: 'longer'; readonly stream: Readable }
  | { readonly kind: 'cut' };

/** Whether the request announces a body. */
export function announcesBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return (
    request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
  );
}

/**
 * Reads a body of a stated length. Listeners take about half the time of the iterator below, and no
 * part of such a body can be left over for a stream.
 */
function collectStated(request: IncomingMessage): Promise<CollectedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      // The parser has reached the end of a short body before the stream hands out its only chunk.
      if (request.complete && request.readableLength === 0) {
        resolve({ bytes: Buffer.concat(chunks), kind: 'whole' });
      }
    });
    request.on('end', () => {
      resolve(request.complete ? { bytes: Buffer.concat(chunks), kind: 'whole' } : { kind: 'cut' });
    });
    // An error of the request is followed by 'close'.
    request.on('error', () => undefined);
    request.on('close', () => {
      resolve({ kind: 'cut' });
    });
  });
}

/** Reads a body up to the limit and leaves the rest unread; a stream of more than `longestBytes` fails. */
export async function collectBody(
  request: IncomingMessage,
  limitBytes: number,
  longestBytes: number,
): Promise<CollectedBody> {
  const stated = request.headers['content-length'];
  if (stated !== undefined && Number(stated) <= limitBytes) return collectStated(request);
  // The iterator must not destroy the request when it is left early: that would close the connection
  // before the caller can read an answer.
  const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) {
        return request.complete ? { bytes: Buffer.concat(chunks), kind: 'whole' } : { kind: 'cut' };
      }
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > limitBytes) {
        return {
          kind: 'longer',
          stream: Readable.from(remaining(request, chunks, iterator, longestBytes)),
        };
      }
    }
  } catch {
    return { kind: 'cut' };
  }
}

async function* remaining(
  request: IncomingMessage,
  chunks: readonly Buffer[],
  iterator: AsyncIterator<Buffer>,
  longestBytes: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for (const chunk of chunks) {
    bytes += chunk.length;
    yield chunk;
  }
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) {
      break;
    }
    bytes += next.value.length;
    if (bytes > longestBytes) {
      throw new Error('the request body is longer than the limit');
    }
    yield next.value;
  }
  if (!request.complete) {
    throw new Error('the caller cut the request body');
  }
}
