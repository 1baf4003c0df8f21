/** Bytes of the length in front of each frame. */
const lengthPrefixBytes = 4;

export const FrameFault = {
  BadEncoding: 'bad-encoding',
  BadShape: 'bad-shape',
  TooLarge: 'too-large',
} as const;
export type FrameFault = (typeof FrameFault)[keyof typeof FrameFault];

export type Decoded<Frame> =
  | { readonly kind: 'frame'; readonly frame: Frame }
  | { readonly kind: 'fault'; readonly fault: FrameFault; readonly detail: string };

/** Puts the length in front of an encoded frame. */
export function prefixLength(encoded: Uint8Array): Buffer {
  const framed = Buffer.allocUnsafe(lengthPrefixBytes + encoded.length);
  framed.writeUInt32BE(encoded.length, 0);
  framed.set(encoded, lengthPrefixBytes);
  return framed;
}

/** Splits a byte stream into frames. After a fault the stream can't be read any further. */
export class LengthPrefixedDecoder<Frame> {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  public constructor(
    private maximumBytes: number,
    private readonly decode: (bytes: Buffer) => Decoded<Frame>,
  ) {}

  /** Frames that come from now on may have this length. */
  public allow(maximumBytes: number): void {
    this.maximumBytes = maximumBytes;
  }

  /** Takes the next bytes of the stream and returns what they complete. */
  public push(chunk: Buffer): Decoded<Frame>[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const decoded: Decoded<Frame>[] = [];
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

  private takeNext(): Decoded<Frame> | undefined {
    if (this.bufferedBytes < lengthPrefixBytes) {
      return undefined;
    }
    const length = this.peekLength();
    if (length > this.maximumBytes) {
      const detail = `frame of ${length} bytes, at most ${this.maximumBytes} are accepted`;
      return { detail, fault: FrameFault.TooLarge, kind: 'fault' };
    }
    if (this.bufferedBytes < lengthPrefixBytes + length) {
      return undefined;
    }
    const buffer = this.joined();
    const end = lengthPrefixBytes + length;
    this.chunks = buffer.length > end ? [buffer.subarray(end)] : [];
    this.bufferedBytes -= end;
    return this.decode(buffer.subarray(lengthPrefixBytes, end));
  }

  private peekLength(): number {
    const first = this.chunks[0];
    return first !== undefined && first.length >= lengthPrefixBytes
      ? first.readUInt32BE(0)
      : this.joined().readUInt32BE(0);
  }

  private joined(): Buffer {
    const [first] = this.chunks;
    if (first !== undefined && this.chunks.length === 1) {
      return first;
    }
    const buffer = Buffer.concat(this.chunks);
    this.chunks = [buffer];
    return buffer;
  }
}
