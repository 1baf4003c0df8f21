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

/** Reads a body up to the limit and leaves the rest unread. */
export async function collectBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<CollectedBody> {
  // The iterator must not destroy the request when it is left early: that would close the connection
  // before the caller can read an answer.
  const iterator = request.iterator({ destroyOnReturn: false });
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for (;;) {
      const next = (await iterator.next()) as IteratorResult<Buffer, undefined>;
      if (next.done === true) {
        return request.complete ? { bytes: Buffer.concat(chunks), kind: 'whole' } : { kind: 'cut' };
      }
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > limitBytes) {
        return { kind: 'longer', stream: Readable.from(remaining(request, chunks, iterator)) };
      }
    }
  } catch {
    return { kind: 'cut' };
  }
}

async function* remaining(
  request: IncomingMessage,
  chunks: readonly Buffer[],
  iterator: AsyncIterator<unknown>,
): AsyncGenerator {
  yield* chunks;
  for (;;) {
    const next = (await iterator.next()) as IteratorResult<unknown, undefined>;
    if (next.done === true) {
      break;
    }
    yield next.value;
  }
  if (!request.complete) {
    throw new Error('the caller cut the request body');
  }
}
