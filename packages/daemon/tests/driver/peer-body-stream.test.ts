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

const identity = { callId: 1, direction: 'answer' } as const;

/** A sink and a source whose frames reach each other in a later turn, as over a connection. */
function connectedBody(): {
  readonly sink: PeerBodySink;
  readonly source: PeerBodySource;
  readonly sentBytes: () => number;
} {
  let sent = 0;
  const sink: PeerBodySink = new PeerBodySink({
    closed: () => undefined,
    identity,
    send: (frame: BodyFrame) => {
      if (frame.kind === 'body-chunk') sent += frame.bytes.length;
      setImmediate(() => {
        source.frame(frame);
      });
    },
  });
  const source: PeerBodySource = new PeerBodySource({
    closed: () => undefined,
    identity,
    send: (frame) => {
      setImmediate(() => {
        sink.frame(frame);
      });
    },
  });
  sink.on('error', () => undefined);
  return { sentBytes: () => sent, sink, source };
}

// A flowing stream passes chunks on without `read`; credit that depends on `read` runs out after 256 KiB.
test('a body longer than the first credit arrives whole', async () => {
  const { sink, source } = connectedBody();
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

// Credit for bytes that nobody has read would let the sender fill the receiver's memory.
test('a reader that stops stops the sender at the credit', async () => {
  const { sentBytes, sink, source } = connectedBody();
  const output = new Writable({ highWaterMark: 1, write: () => undefined });
  pipeline(source, output, () => undefined);
  sink.write(Buffer.alloc(8 * initialCreditBytes));
  for (let turn = 0; turn < 20; turn += 1) await sleep(1);
  const handedOn = 65_536;
  assert.ok(sentBytes() <= initialCreditBytes + 2 * handedOn, `${sentBytes()} bytes were sent`);
});

// A body that ends early must not end like a whole one.
test('a cut on the sending side is an error on the receiving side', async () => {
  const { sink, source } = connectedBody();
  const failed = new Promise((resolve) => source.once('error', resolve));
  source.resume();
  sink.write(Buffer.alloc(10));
  sink.destroy();
  assert.instance(await failed, Error);
  assert.is(source.readableEnded, false);
});

test.run();
