import { Encoder } from 'cbor-x';

import { fieldNumbers } from './field-numbers.js';
import { describeFrameFault } from './frame-shapes.js';
import { FrameFault, LengthPrefixedDecoder, prefixLength } from './length-prefixed.js';
import type { Decoded } from './length-prefixed.js';
import type { WireFrame } from './wire-frames.js';

export { FrameFault } from './length-prefixed.js';

/** Largest encoded frame in bytes: a keyed body of 1 MiB and its head. */
export const maximumFrameBytes = 1_310_720;

// Records would make a frame depend on earlier ones, so a decoder could not start afresh.
const options = { tagUint8Array: false, useRecords: false };
const encoder = new Encoder({ ...options, keyMap: { ...fieldNumbers } });
/** A node of any version has to be able to read which version the other one speaks. */
const greetingEncoder = new Encoder(options);

/** Encodes a frame with its length in front. */
export function encodeFrame(frame: WireFrame): Buffer {
  const encoded = (frame.kind === 'hello' ? greetingEncoder : encoder).encode(frame);
  return prefixLength(encoded);
}

export type DecodedFrame = Decoded<WireFrame>;

/** Splits a byte stream into the frames of this protocol. */
export class FrameDecoder extends LengthPrefixedDecoder<WireFrame> {
  public constructor() {
    super(maximumFrameBytes, decodeFrame);
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
