/** Longest time for which the bytes of long frames that have been handed to the link may keep it busy. */
const queuedMilliseconds = 15;
/** Time that the link needs for one part of a long frame. It bounds how long one connection delays the others. */
const partMilliseconds = 5;
/** Parts are not shorter, so that a slow link does not make many system calls necessary. */
const minimumPartBytes = 4_096;
/** Share of the link's rate that frames may use; headers of packets and responses to callers take the rest. */
const usableShare = 0.95;
const bitsPerByte = 8;
const bitsPerMillisecondOfMegabit = 1_000;

export interface LinkPacerOptions {
  /** Rate of the machine's link. */
  readonly megabitsPerSecond: number;
  readonly clock: () => number;
  /** Calls back after the given time. */
  readonly schedule: (callback: () => void, milliseconds: number) => void;
}

/** Writes bytes to a socket; `onFlushed` is called once the system has taken them, or the connection has ended. */
type WriteBytes = (bytes: Uint8Array, onFlushed?: () => void) => void;

interface PendingBytes {
  readonly bytes: Uint8Array;
  readonly onFlushed: (() => void) | undefined;
}

/** The frames of one connection that wait for the link. */
export class PacedStream {
  private pending: PendingBytes[] = [];
  private pendingBytes = 0;

  public constructor(
    private readonly pacer: LinkPacer,
    private readonly writeNow: WriteBytes,
  ) {}

  public get isEmpty(): boolean {
    return this.pending.length === 0;
  }

  /** Bytes that wait for the link. */
  public get queuedBytes(): number {
    return this.pendingBytes;
  }

  /** Writes a short frame at once, unless earlier ones wait; a long one in parts. */
  public write(bytes: Uint8Array, onFlushed?: () => void): void {
    if (this.isEmpty && bytes.length <= this.pacer.partBytes) {
      this.pacer.recordWritten(bytes.length);
      this.writeNow(bytes, onFlushed);
      return;
    }
    this.pending.push({ bytes, onFlushed });
    this.pendingBytes += bytes.length;
    this.pacer.enqueue(this);
  }

  /** Writes the next part of the waiting frames and returns its length. */
  public writePart(maximumBytes: number): number {
    const [first, ...others] = this.pending;
    if (first === undefined) return 0;
    const { bytes, onFlushed } = first;
    const part = bytes.subarray(0, maximumBytes);
    const rest = bytes.subarray(part.length);
    this.pendingBytes -= part.length;
    if (rest.length === 0) {
      this.pending = others;
      this.writeNow(part, onFlushed);
    } else {
      this.pending = [{ bytes: rest, onFlushed }, ...others];
      this.writeNow(part);
    }
    return part.length;
  }

  /** Writes all waiting frames at once, as before the connection ends. */
  public flush(): void {
    this.pendingBytes = 0;
    for (const { bytes, onFlushed } of this.pending.splice(0)) this.writeNow(bytes, onFlushed);
  }

  /** Drops the waiting frames. */
  public close(): void {
    this.pendingBytes = 0;
    for (const { onFlushed } of this.pending.splice(0)) onFlushed?.();
  }
}

/**
 * Shares the machine's link between the connections to other nodes. A link sends in the order in which it gets the bytes, so
 * an answer of 90 KB, written at once, delays all frames behind it by 70 ms at 10 Mbit/s: more than most requests take. Long
 * frames are therefore written in parts, the connections in turn, and only as fast as the link sends them; short
 * frames of other connections pass in between.
 */
export class LinkPacer {
  /** Length of a part, and of the longest frame that is not paced. */
  public readonly partBytes: number;
  private readonly bytesPerMillisecond: number;
  /** Time at which the link is expected to have sent everything that was written. */
  private linkFreeAt = Number.NEGATIVE_INFINITY;
  /** Streams with waiting frames, in the order of their turns. */
  private readonly waiting = new Set<PacedStream>();
  private isScheduled = false;

  public constructor(private readonly options: LinkPacerOptions) {
    const bitsPerMillisecond = options.megabitsPerSecond * bitsPerMillisecondOfMegabit;
    this.bytesPerMillisecond = (usableShare * bitsPerMillisecond) / bitsPerByte;
    this.partBytes = Math.max(
      minimumPartBytes,
      Math.floor(this.bytesPerMillisecond * partMilliseconds),
    );
  }

  public createStream(writeNow: WriteBytes): PacedStream {
    return new PacedStream(this, writeNow);
  }

  /** Number of connections with frames that wait for the link. */
  public get waitingConnections(): number {
    return this.waiting.size;
  }

  public recordWritten(bytes: number): void {
    const startsAt = Math.max(this.linkFreeAt, this.options.clock());
    this.linkFreeAt = startsAt + bytes / this.bytesPerMillisecond;
  }

  public enqueue(stream: PacedStream): void {
    this.waiting.add(stream);
    if (!this.isScheduled) this.writeParts();
  }

  private writeParts(): void {
    const now = this.options.clock();
    for (const stream of this.waiting) {
      if (this.linkFreeAt - now >= queuedMilliseconds) break;
      this.waiting.delete(stream);
      this.recordWritten(stream.writePart(this.partBytes));
      // The end of the set is reached last, so that the streams take turns.
      if (!stream.isEmpty) this.waiting.add(stream);
    }
    if (this.waiting.size === 0) return;
    this.isScheduled = true;
    const delay = Math.max(1, this.linkFreeAt - now - queuedMilliseconds / 2);
    this.options.schedule(() => {
      this.isScheduled = false;
      this.writeParts();
    }, delay);
  }
}
