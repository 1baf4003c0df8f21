/** Size of the length field in front of each frame. */
const lengthPrefixBytes = 4;

export const FrameFault = {
  BadEncoding: 'bad-encoding',
  BadShape: 'bad-shape',
  TooLarge: 'too-large',
} as const;
export type FrameFault = (typeof FrameFault)[keyof typeof FrameFault];

export type DecodeResult<Frame> =
  | { readonly kind: 'frame'; readonly frame: Frame }
  | { readonly kind: 'fault'; readonly fault: FrameFault; readonly detail: string };

/** Returns the encoded frame with its length in front. */
export function addLengthPrefix(encoded: Uint8Array): Buffer {
  const framed = Buffer.allocUnsafe(lengthPrefixBytes + encoded.length);
  framed.writeUInt32BE(encoded.length, 0);
  framed.set(encoded, lengthPrefixBytes);
  return framed;
}

/** Splits a byte stream into frames. After a fault the rest of the stream can't be decoded. */
export class LengthPrefixedDecoder<Frame> {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  public constructor(
    private maximumBytes: number,
    private readonly decode: (bytes: Buffer) => DecodeResult<Frame>,
  ) {}

  /** Sets the size limit for frames decoded from now on. */
  public setMaximumBytes(maximumBytes: number): void {
    this.maximumBytes = maximumBytes;
  }

  /** Adds the next bytes of the stream and returns the frames that are complete. */
  public push(chunk: Buffer): DecodeResult<Frame>[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const decoded: DecodeResult<Frame>[] = [];
    for (;;) {
      const next = this.takeNext();
      if (next === undefined) {
        return decoded;
      }
      decoded.push(next);
      if (next.kind === 'fault') {
        return decoded;
      }
    }
  }

  private takeNext(): DecodeResult<Frame> | undefined {
    if (this.bufferedBytes < lengthPrefixBytes) {
      return undefined;
    }
    const length = this.peekLength();
    if (length > this.maximumBytes) {
      const detail = `frame of ${length} bytes exceeds the limit of ${this.maximumBytes}`;
      return { detail, fault: FrameFault.TooLarge, kind: 'fault' };
    }
    if (this.bufferedBytes < lengthPrefixBytes + length) {
      return undefined;
    }
    const buffer = this.joinChunks();
    const end = lengthPrefixBytes + length;
    this.chunks = buffer.length > end ? [buffer.subarray(end)] : [];
    this.bufferedBytes -= end;
    return this.decode(buffer.subarray(lengthPrefixBytes, end));
  }

  private peekLength(): number {
    const first = this.chunks[0];
    return first !== undefined && first.length >= lengthPrefixBytes
      ? first.readUInt32BE(0)
      : this.joinChunks().readUInt32BE(0);
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (first !== undefined && this.chunks.length === 1) {
      return first;
    }
    const buffer = Buffer.concat(this.chunks);
    this.chunks = [buffer];
    return buffer;
  }
}
