/**
 * Lines are written in batches after this delay. Each write occupies a thread of the runtime's pool and takes about
 * five system calls; with 50 ms these were a fifth of all system calls of a node with 8 requests per second. A killed
 * process loses the lines that have not been written.
 */
const flushDelayMilliseconds = 200;
/** Maximum number of buffered bytes if the reader is slow; further lines are dropped and counted. */
const maximumPendingBytes = 262_144;

/** Error codes that mean that the reader is slow, not gone. */
const transientErrorCodes: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EINTR']);
const retryDelayMilliseconds = 50;
const lineFeedByte = 10;

export interface LineWriterOptions {
  /** Writes bytes without blocking and calls back with the number of bytes written. */
  readonly write: (
    bytes: Uint8Array,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
  ) => void;
  readonly maximumBytes?: number;
}

/**
 * Writes log lines without blocking the process. If the reader stops reading, lines are dropped and counted, and
 * requests are not affected.
 */
export class LineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private droppedCount = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly options: LineWriterOptions) {}

  /** Number of dropped lines that have not been reported in the log yet. */
  public get droppedLines(): number {
    return this.droppedCount;
  }

  public write(line: string): void {
    if (this.pendingBytes + line.length > (this.options.maximumBytes ?? maximumPendingBytes)) {
      this.droppedCount += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, flushDelayMilliseconds);
  }

  /** Writes the pending lines now; also called before the process exits. */
  public flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.pendingLines.length === 0) return;
    if (this.droppedCount > 0) {
      this.pendingLines.push(`level=warn event=log-lines-dropped count=${this.droppedCount}\n`);
      this.droppedCount = 0;
    }
    const bytes = Buffer.from(this.pendingLines.join(''));
    this.pendingLines = [];
    this.isWriting = true;
    this.writeRest(bytes);
  }

  /** A pipe accepts only as many bytes as it has room for, and reports an error if it has no room at all. */
  private writeRest(bytes: Uint8Array): void {
    this.options.write(bytes, (error, written) => {
      if (transientErrorCodes.has(error?.code)) {
        setTimeout(() => {
          this.writeRest(bytes);
        }, retryDelayMilliseconds);
        return;
      }
      if (error !== null) this.droppedCount += bytes.filter((byte) => byte === lineFeedByte).length;
      const rest = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
      this.pendingBytes -= Math.min(this.pendingBytes, bytes.length - rest.length);
      if (rest.length > 0) this.writeRest(rest);
      else {
        this.isWriting = false;
        this.flush();
      }
    });
  }
}
