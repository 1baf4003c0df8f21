/**
 * Lines are written together after this time. Each write takes a thread of the runtime and some five system calls,
 * a fifth of those of a node with 8 requests a second when it was 50 ms. A process that is killed loses these lines.
 */
const flushMilliseconds = 200;
/** Bytes that may wait for a reader that does not read; later lines are dropped and counted. */
const maximumWaitingBytes = 262_144;

/** Codes of errors that say that the reader is slow, not gone. */
const retriedErrorCodes: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EINTR']);
const retryMilliseconds = 50;
const lineBreak = 10;

export interface LineWriterOptions {
  /** Writes bytes without blocking the process and calls back with how many it took. */
  readonly write: (
    bytes: Uint8Array,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
  ) => void;
  readonly maximumBytes?: number;
}

/**
 * Writes log lines without ever waiting for their reader: a reader that stops costs lines, which are
 * counted, but no request.
 */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly options: LineWriterOptions) {}

  /** Lines that were dropped and not yet reported. */
  public get droppedLines(): number {
    return this.dropped;
  }

  public write(line: string): void {
    if (this.waitingBytes + line.length > (this.options.maximumBytes ?? maximumWaitingBytes)) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, flushMilliseconds);
  }

  /** Hands over what waits; used before the process ends. */
  public flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.waiting.length === 0) return;
    if (this.dropped > 0) {
      this.waiting.push(`level=warn event=log-lines-dropped count=${this.dropped}\n`);
      this.dropped = 0;
    }
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.isWriting = true;
    this.writeRest(bytes);
  }

  /** A pipe takes as much as it has room for, and an error at all if it has none. */
  private writeRest(bytes: Uint8Array): void {
    this.options.write(bytes, (error, written) => {
      if (retriedErrorCodes.has(error?.code)) {
        setTimeout(() => {
          this.writeRest(bytes);
        }, retryMilliseconds);
        return;
      }
      if (error !== null) this.dropped += bytes.filter((byte) => byte === lineBreak).length;
      const rest = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
      this.waitingBytes -= Math.min(this.waitingBytes, bytes.length - rest.length);
      if (rest.length > 0) this.writeRest(rest);
      else {
        this.isWriting = false;
        this.flush();
      }
    });
  }
}
