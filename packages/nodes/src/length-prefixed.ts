import { LongFrameBuffer } from './long-frame-buffer.js';

/** Size of the length field in front of each frame. */
export const lengthPrefixBytes = 4;
/** Incomplete frames are kept in this many chunks at most. */
const maximumChunks = 64;
/** Longer frames are read into a buffer of their own, if there is memory for it. */
const longFrameBytes = 65_536;

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

/** Memory and decoding of long frames. */
export interface LongFrames<Frame> {
  /** Whether there is memory for a frame of the length. */
  readonly tryBegin: (length: number) => boolean;
  /** The frame has been read, or the decoder was closed before its end. */
  readonly end: () => void;
  /** Decodes a frame of which only the first bytes were kept; undefined if they are not enough. */
  readonly decodeStart: (bytes: Buffer, length: number) => DecodeResult<Frame> | undefined;
}

/** Splits a byte stream into frames. After a fault the rest of the stream can't be decoded. */
export class LengthPrefixedDecoder<Frame> {
  private chunks: Buffer[] = [];
  /** Bytes of frames that are not complete. */
  public bufferedBytes = 0;
  private longFrame: LongFrameBuffer | undefined;

  public constructor(
    private maximumBytes: number,
    private readonly decode: (bytes: Buffer) => DecodeResult<Frame>,
    private readonly longFrames?: LongFrames<Frame>,
  ) {}

  /** Sets the size limit for frames decoded from now on. */
  public setMaximumBytes(maximumBytes: number): void {
    this.maximumBytes = maximumBytes;
  }

  /** Adds the next bytes of the stream and returns the frames that are complete. */
  public push(chunk: Buffer): DecodeResult<Frame>[] {
    const decoded: DecodeResult<Frame>[] = [];
    this.addChunk(chunk, decoded);
    for (;;) {
      const next = this.takeNext();
      if (next === undefined) {
        if (!this.beginLongFrame(decoded)) return decoded;
        continue;
      }
      decoded.push(next);
      if (next.kind === 'fault') {
        return decoded;
      }
    }
  }

  /** Gives back the memory of a frame that is being read. */
  public close(): void {
    if (this.longFrame !== undefined) this.longFrames?.end();
    this.longFrame = undefined;
  }

  private addChunk(chunk: Buffer, decoded: DecodeResult<Frame>[]): void {
    const rest = this.longFrame === undefined ? chunk : this.addToLongFrame(chunk, decoded);
    if (rest.length === 0) return;
    this.chunks.push(rest);
    this.bufferedBytes += rest.length;
    // A list of short chunks takes many times the memory that their length shows.
    if (this.chunks.length > maximumChunks) this.joinChunks();
  }

  /** Reads on in the long frame, and returns the bytes beyond it. */
  private addToLongFrame(chunk: Buffer, decoded: DecodeResult<Frame>[]): Buffer {
    const { longFrame } = this;
    if (longFrame === undefined) return chunk;
    const rest = longFrame.append(chunk);
    if (!longFrame.isComplete) return rest;
    this.close();
    const { bytes, isWhole, length } = longFrame;
    const frame = isWhole ? this.decode(bytes) : this.longFrames?.decodeStart(bytes, length);
    if (frame !== undefined) decoded.push(frame);
    return rest;
  }

  /** If the stream has come to a long frame, moves what there is of it to a buffer of its own. Returns whether it has. */
  private beginLongFrame(decoded: DecodeResult<Frame>[]): boolean {
    if (this.longFrames === undefined || this.longFrame !== undefined) return false;
    if (this.bufferedBytes < lengthPrefixBytes) return false;
    const length = this.peekLength();
    if (length <= longFrameBytes) return false;
    const buffered = this.joinChunks().subarray(lengthPrefixBytes);
    this.chunks = [];
    this.bufferedBytes = 0;
    this.longFrame = new LongFrameBuffer(length, this.longFrames.tryBegin(length));
    this.addChunk(buffered, decoded);
    return true;
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
