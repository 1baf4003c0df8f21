import fastCheck from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { PeerFrame } from '@peridotspring/core';

import { encodeFrame, FrameDecoder, FrameFault, maximumFrameBytes } from '../src/index.js';

const frames: readonly PeerFrame[] = [
  { kind: 'load-probe', service: 'provenance' },
  { bytes: new Uint8Array([1, 2, 3]), callId: 7, direction: 'answer', kind: 'body-chunk' },
  { callId: 9, kind: 'request-cancel' },
  { answer: 'x'.repeat(3_000), kind: 'operator-answer', questionId: 1 },
];

function decodeInPieces(bytes: Buffer, pieceLengths: readonly number[]): Buffer[] {
  const decoder = new FrameDecoder();
  const decoded: Buffer[] = [];
  let offset = 0;
  for (let piece = 0; offset < bytes.length; piece += 1) {
    const length = pieceLengths[piece % pieceLengths.length] ?? 1;
    for (const result of decoder.push(bytes.subarray(offset, offset + length))) {
      assert.is(result.kind, 'frame');
      if (result.kind === 'frame') {
        decoded.push(encodeFrame(result.frame));
      }
    }
    offset += length;
  }
  return decoded;
}

test('frames survive any division of the byte stream', () => {
  const stream = Buffer.concat(frames.map((frame) => encodeFrame(frame)));
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.integer({ max: 700, min: 1 }), { maxLength: 20, minLength: 1 }),
      (pieceLengths) => {
        const decoded = decodeInPieces(stream, pieceLengths);
        assert.ok(Buffer.concat(decoded).equals(stream));
      },
    ),
    { numRuns: 200, seed: 41 },
  );
});

test('random bytes never make the decoder throw, so a hostile peer can not stop the node', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.uint8Array({ maxLength: 400 }), (bytes) => {
      const framed = Buffer.alloc(4 + bytes.length);
      framed.writeUInt32BE(bytes.length, 0);
      framed.set(bytes, 4);
      new FrameDecoder().push(framed);
    }),
    { numRuns: 2_000, seed: 42 },
  );
});

test('a length above the maximum is a fault before its bytes arrive, so memory stays bounded', () => {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(maximumFrameBytes + 1, 0);
  const [result] = new FrameDecoder().push(head);
  assert.is(result?.kind === 'fault' && result.fault, FrameFault.TooLarge);
});

test.run();
