import { Encoder } from 'cbor-x';

import { fieldNumbers } from './field-numbers.js';
import { describeFrameFault } from './frame-shapes.js';
import { FrameFault, LengthPrefixedDecoder, addLengthPrefix } from './length-prefixed.js';
import type { DecodeResult } from './length-prefixed.js';
import type { WireFrame } from './wire-frames.js';

export { FrameFault } from './length-prefixed.js';

/** Largest encoded frame in bytes: a keyed request with a body of 1 MiB and its header fields. */
export const maximumFrameBytes = 1_310_720;
/** Largest hello or proof in bytes. */
export const maximumHandshakeFrameBytes = 8_192;

// Records would make a frame depend on earlier frames, so that a new decoder could not decode it.
const encoderOptions = { tagUint8Array: false, useRecords: false };
const encoder = new Encoder({ ...encoderOptions, keyMap: { ...fieldNumbers } });
/** Encodes hello frames with field names, so that a node of any version can read the protocol version. */
const helloEncoder = new Encoder(encoderOptions);

/** Encodes a frame and adds its length in front. */
export function encodeFrame(frame: WireFrame): Buffer {
  const encoded = (frame.kind === 'hello' ? helloEncoder : encoder).encode(frame);
  return addLengthPrefix(encoded);
}

export type FrameDecodeResult = DecodeResult<WireFrame>;

/** Splits the byte stream of a connection between nodes into frames. */
export class FrameDecoder extends LengthPrefixedDecoder<WireFrame> {
  public constructor() {
    super(maximumHandshakeFrameBytes, (bytes) => {
      const result = decodeFrame(bytes);
      // Calls may follow a proof in the same chunk; if the proof is wrong, the connection closes before it reads on.
      if (result.kind === 'frame' && result.frame.kind === 'proof')
        this.setMaximumBytes(maximumFrameBytes);
      return result;
    });
  }
}

function decodeFrame(bytes: Buffer): FrameDecodeResult {
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
