const minimumCapacityBytes = 1_024;

/**
 * Joins chunks in one growing buffer. A list of chunks takes some hundred bytes of memory for each of them, however short
 * it is, so that a sender of short chunks could take many times the memory that their length shows.
 */
export class ByteAccumulator {
  private buffer = Buffer.alloc(0);
  private usedBytes = 0;

  /** The buffer doubles until it reaches `limitBytes`; after that, it grows by what is added. */
  public constructor(private readonly limitBytes: number) {}

  /** Number of bytes added. */
  public get length(): number {
    return this.usedBytes;
  }

  /** Memory that is held, including the part of the buffer that is not in use yet. */
  public get heldBytes(): number {
    return this.buffer.length;
  }

  /** Memory that is held after `byteCount` more bytes. */
  public heldBytesAfter(byteCount: number): number {
    const length = this.usedBytes + byteCount;
    return length <= this.buffer.length ? this.buffer.length : this.capacityFor(length);
  }

  /** Allocates the whole buffer at once, for a message of known length. */
  public reserve(byteCount: number): void {
    if (byteCount > this.buffer.length) this.resize(byteCount);
  }

  public append(chunk: Uint8Array): void {
    const length = this.usedBytes + chunk.length;
    const isReserved = this.buffer.length > chunk.length;
    if (this.usedBytes === 0 && !isReserved && chunk instanceof Buffer && isSoleView(chunk)) {
      // Most messages consist of one chunk, which needs no copy.
      this.buffer = chunk;
    } else {
      if (length > this.buffer.length) this.resize(this.capacityFor(length));
      this.buffer.set(chunk, this.usedBytes);
    }
    this.usedBytes = length;
  }

  /** Returns all bytes and releases the buffer. */
  public take(): Uint8Array {
    const { buffer, usedBytes } = this;
    this.clear();
    const bytes = buffer.subarray(0, usedBytes);
    const unusedBytes = buffer.length - usedBytes;
    return unusedBytes * 4 > usedBytes ? copyOf(bytes) : bytes;
  }

  public clear(): void {
    this.buffer = Buffer.alloc(0);
    this.usedBytes = 0;
  }

  private capacityFor(neededBytes: number): number {
    const doubledBytes = Math.min(2 * this.buffer.length, this.limitBytes);
    return Math.max(neededBytes, doubledBytes, minimumCapacityBytes);
  }

  private resize(capacity: number): void {
    const resized = Buffer.allocUnsafeSlow(capacity);
    resized.set(this.buffer.subarray(0, this.usedBytes));
    this.buffer = resized;
  }
}

/** Copies bytes to memory of their own: small buffers of the pool of Node.js keep all of it alive. */
function copyOf(bytes: Uint8Array): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  copy.set(bytes);
  return copy;
}

/** Whether the chunk is all of its memory, not a part of a larger buffer that it would keep alive. */
function isSoleView(chunk: Buffer): boolean {
  return chunk.byteLength === chunk.buffer.byteLength;
}
