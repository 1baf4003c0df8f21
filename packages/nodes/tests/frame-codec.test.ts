import { Encoder } from 'cbor-x';
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

test('frames are decoded however the byte stream is split into chunks', () => {
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

const plainEncoder = new Encoder({ tagUint8Array: false, useRecords: false });

/** Encodes a frame with its field names, as text that can be compared. */
function encodePlain(frame: unknown): string {
  return plainEncoder.encode(frame).toString('latin1');
}

// If a field number were decoded as another field, a frame would be delivered as a different one.
test('every frame is decoded as it was encoded, whatever its field names are', () => {
  const head = {
    depth: 1,
    headers: { 'content-type': 'text/plain', kind: 'x', server: ['a', 'b'], '3': 'c' },
    method: 'POST',
    path: '/a',
    requestId: 'r',
    service: 'issuance',
    tenant: 't',
  };
  const written: readonly PeerFrame[] = [
    ...frames,
    { configurationRevision: 4, kind: 'ping', sequence: 9, updates: [] },
    {
      body: new Uint8Array([1]),
      callId: 3,
      digest: 'd',
      head,
      key: 'k',
      kind: 'keyed-request',
      receivedAt: 1,
      remainingMilliseconds: 2.5,
    },
  ];
  for (const frame of written) {
    const [result] = new FrameDecoder().push(encodeFrame(frame));
    const read: unknown = result?.kind === 'frame' ? result.frame : result;
    assert.is(encodePlain(read), encodePlain(frame));
  }
});

test('a hello can be decoded without the field numbers', () => {
  const identity = {
    availabilityZone: 'z',
    incarnation: 1,
    peerAddress: 'a',
    region: 'r',
    server: 's',
  };
  const helloFrame = { identity, kind: 'hello', nonce: new Uint8Array(2), version: 9 } as const;
  const decoded: unknown = plainEncoder.decode(encodeFrame(helloFrame).subarray(4));
  assert.is((decoded as { readonly version?: unknown }).version, 9);
});

test('random bytes never make the decoder throw, so a hostile peer cannot stop the node', () => {
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

test('a length above the maximum is rejected before the frame arrives, so memory stays bounded', () => {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(maximumFrameBytes + 1, 0);
  const [result] = new FrameDecoder().push(head);
  assert.is(result?.kind === 'fault' && result.fault, FrameFault.TooLarge);
});

test.run();
