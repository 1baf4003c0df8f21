import { PassThrough, pipeline, Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

import type { BodyFrame } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  initialCreditBytes,
  PeerBodySink,
  PeerBodySource,
} from '../../src/driver/peer-body-stream.js';

const bodyIdentity = { callId: 1, direction: 'answer' } as const;

/**
 * Creates a sink and a source that receive each other's frames in a later turn of the event loop,
 * as over a connection.
 */
function createConnectedBody(): {
  readonly sink: PeerBodySink;
  readonly source: PeerBodySource;
  readonly sentBytes: () => number;
} {
  let sentByteCount = 0;
  const sink: PeerBodySink = new PeerBodySink({
    onClosed: () => undefined,
    identity: bodyIdentity,
    send: (frame: BodyFrame) => {
      if (frame.kind === 'body-chunk') sentByteCount += frame.bytes.length;
      setImmediate(() => {
        source.onFrame(frame);
      });
    },
  });
  const source: PeerBodySource = new PeerBodySource({
    onClosed: () => undefined,
    identity: bodyIdentity,
    send: (frame) => {
      setImmediate(() => {
        sink.onFrame(frame);
      });
    },
  });
  sink.on('error', () => undefined);
  return { sentBytes: () => sentByteCount, sink, source };
}

// A stream in flowing mode passes chunks on without calling `read`. If credit were only returned
// in `read`, the body would stall after the initial 256 KiB.
test('a body longer than the initial credit arrives completely', async () => {
  const { sink, source } = createConnectedBody();
  const input = new PassThrough();
  const bytes = 5 * initialCreditBytes + 11;
  let received = 0;
  const output = new Writable({
    write(chunk: Buffer, _encoding, callback): void {
      received += chunk.length;
      setImmediate(callback);
    },
  });
  pipeline(input, sink, () => undefined);
  const ended = new Promise((resolve) => pipeline(source, output, resolve));
  for (let left = bytes; left > 0; left -= 10_000)
    input.write(Buffer.alloc(Math.min(left, 10_000)));
  input.end();
  assert.is(await ended, undefined);
  assert.is(received, bytes);
});

// Returning credit for bytes that have not been read would let the sender fill the receiver's
// memory.
test('the sender stops at its credit when the receiver stops reading', async () => {
  const { sentBytes, sink, source } = createConnectedBody();
  const output = new Writable({ highWaterMark: 1, write: () => undefined });
  pipeline(source, output, () => undefined);
  sink.write(Buffer.alloc(8 * initialCreditBytes));
  for (let turn = 0; turn < 20; turn += 1) await sleep(1);
  const passedOnBytes = 65_536;
  assert.ok(
    sentBytes() <= initialCreditBytes + 2 * passedOnBytes,
    `${sentBytes()} bytes were sent`,
  );
});

// A truncated body must not look like a complete one.
test('a body that the sender aborts ends with an error at the receiver', async () => {
  const { sink, source } = createConnectedBody();
  const failed = new Promise((resolve) => source.once('error', resolve));
  source.resume();
  sink.write(Buffer.alloc(10));
  sink.destroy();
  assert.instance(await failed, Error);
  assert.is(source.readableEnded, false);
});

test.run();
