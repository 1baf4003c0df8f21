/** Kept of a frame that has no memory: enough for its fields other than the body. */
const keptBytes = 131_072;

/** The bytes of one long frame while it is being read: all of them, or only the first ones if it has no memory. */
export class LongFrameBuffer {
  private readonly buffer: Buffer;
  private receivedBytes = 0;

  public constructor(
    public readonly length: number,
    /** Whether the whole frame is kept. */
    public readonly isWhole: boolean,
  ) {
    this.buffer = Buffer.allocUnsafeSlow(isWhole ? length : Math.min(length, keptBytes));
  }

  public get isComplete(): boolean {
    return this.receivedBytes === this.length;
  }

  /** The bytes that have been kept. */
  public get bytes(): Buffer {
    return this.buffer;
  }

  /** Adds the next bytes and returns those that are beyond the frame. */
  public append(chunk: Buffer): Buffer {
    const end = Math.min(chunk.length, this.length - this.receivedBytes);
    if (this.receivedBytes < this.buffer.length)
      chunk.copy(this.buffer, this.receivedBytes, 0, end);
    this.receivedBytes += end;
    return chunk.subarray(end);
  }
}
