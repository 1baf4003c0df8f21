import { Readable } from 'node:stream';

const chunkBytes = 65_536;

/** What a request asks of its answer, in its query. */
export interface AnswerWish {
  readonly bytes: number;
  readonly status: number;
  /** Sent without a length, in chunks. */
  readonly chunked: boolean;
  /** Service time in place of a drawn one. */
  readonly milliseconds: number | undefined;
}

/** Reads `bytes`, `status`, `chunked` and `ms` from the query of a path. */
export function readAnswerWish(path: string, defaultBytes: number): AnswerWish {
  const query = new URL(path, 'http://upstream').searchParams;
  const numberOf = (name: string, maximum: number): number | undefined => {
    const value = Number(query.get(name) ?? Number.NaN);
    return Number.isInteger(value) && value >= 0 && value <= maximum ? value : undefined;
  };
  const status = numberOf('status', 599) ?? 200;
  return {
    bytes: numberOf('bytes', 1_073_741_824) ?? defaultBytes,
    chunked: query.get('chunked') === '1',
    milliseconds: numberOf('ms', 600_000),
    status: status >= 200 ? status : 200,
  };
}

/**
 * The line that an answer's body repeats. It names the request, so that a reader can tell whether
 * the answer belongs to it.
 */
export function answerLine(
  method: string,
  path: string,
  idempotencyKey: string | undefined,
): string {
  return `${method} ${path} ${idempotencyKey ?? '-'}\n`;
}

/** The part of the endless repetition of a line that begins at an offset. */
export function answerPart(line: string, offset: number, bytes: number): Buffer {
  const repeated = Buffer.from(line);
  const part = Buffer.alloc(bytes);
  for (let filled = 0; filled < bytes;) {
    const from = (offset + filled) % repeated.length;
    filled += repeated.copy(part, filled, from);
  }
  return part;
}

/** The body of an answer as a stream, made as it is read. */
export function answerStream(line: string, bytes: number): Readable {
  let offset = 0;
  return new Readable({
    read(): void {
      const size = Math.min(chunkBytes, bytes - offset);
      if (size === 0) {
        this.push(null);
        return;
      }
      const part = answerPart(line, offset, size);
      offset += size;
      this.push(part);
    },
  });
}
