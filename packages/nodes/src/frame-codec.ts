import { Encoder } from 'cbor-x';

import { fieldNumbers } from './field-numbers.js';
import { describeFrameFault } from './frame-shapes.js';
import type { WireFrame } from './wire-frames.js';

/** Largest encoded frame in bytes: a keyed body of 1 MiB and its head. */
export const maximumFrameBytes = 1_310_720;

const lengthPrefixBytes = 4;

// Records would make a frame depend on earlier ones, so a decoder could not start afresh.
const options = { tagUint8Array: false, useRecords: false };
const encoder = new Encoder({ ...options, keyMap: { ...fieldNumbers } });
/** A node of any version has to be able to read which version the other one speaks. */
const greetingEncoder = new Encoder(options);

/** Encodes a frame with its length in front. */
export function encodeFrame(frame: WireFrame): Buffer {
  const encoded = (frame.kind === 'hello' ? greetingEncoder : encoder).encode(frame);
  const framed = Buffer.allocUnsafe(lengthPrefixBytes + encoded.length);
  framed.writeUInt32BE(encoded.length, 0);
  encoded.copy(framed, lengthPrefixBytes);
  return framed;
}

export const FrameFault = {
  BadEncoding: 'bad-encoding',
  BadShape: 'bad-shape',
  TooLarge: 'too-large',
} as const;
export type FrameFault = (typeof FrameFault)[keyof typeof FrameFault];

export type DecodedFrame =
  | { readonly kind: 'frame'; readonly frame: WireFrame }
  | { readonly kind: 'fault'; readonly fault: FrameFault; readonly detail: string };

/** Splits a byte stream into frames. After a fault the stream can't be read any further. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  /** Takes the next bytes of the stream and returns what they complete. */
  public push(chunk: Buffer): DecodedFrame[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const decoded: DecodedFrame[] = [];
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

  private takeNext(): DecodedFrame | undefined {
    if (this.bufferedBytes < lengthPrefixBytes) {
      return undefined;
    }
    const length = this.peekLength();
    if (length > maximumFrameBytes) {
      const detail = `frame of ${length} bytes, at most ${maximumFrameBytes} are accepted`;
      return { detail, fault: FrameFault.TooLarge, kind: 'fault' };
    }
    if (this.bufferedBytes < lengthPrefixBytes + length) {
      return undefined;
    }
    const buffer = this.joined();
    const end = lengthPrefixBytes + length;
    this.chunks = buffer.length > end ? [buffer.subarray(end)] : [];
    this.bufferedBytes -= end;
    return decodeFrame(buffer.subarray(lengthPrefixBytes, end));
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

function decodeFrame(bytes: Buffer): DecodedFrame {
  let value: unknown;
  try {
    value = encoder.decode(bytes);
  } catch (error) {
    return { detail: String(error), fault: FrameFault.BadEncoding, kind: 'fault' };
  }
  const detail = describeFrameFault(value);
  if (detail !== undefined) {
    return { detail, fault: FrameFault.BadShape, kind: 'fault' };
  }
  return { frame: value as WireFrame, kind: 'frame' };
}
