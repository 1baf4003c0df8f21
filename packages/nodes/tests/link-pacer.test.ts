import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LinkPacer } from '../src/index.js';

/** A link that sends in the order in which it gets the bytes, at the rate that it is said to have. */
class VirtualLink {
  public now = 0;
  public readonly pacer: LinkPacer;
  private freeAt = 0;
  private readonly timers: { readonly at: number; readonly callback: () => void }[] = [];

  public constructor(private readonly megabitsPerSecond: number) {
    this.pacer = new LinkPacer({
      clock: () => this.now,
      megabitsPerSecond,
      schedule: (callback, milliseconds) => {
        this.timers.push({ at: this.now + milliseconds, callback });
      },
    });
  }

  /** Returns the time at which the link has sent the bytes. */
  public send(bytes: Uint8Array): number {
    const milliseconds = (bytes.length * 8) / (this.megabitsPerSecond * 1_000);
    this.freeAt = Math.max(this.freeAt, this.now) + milliseconds;
    return this.freeAt;
  }

  public runUntil(end: number): void {
    for (;;) {
      this.timers.sort((first, second) => first.at - second.at);
      const [next] = this.timers;
      if (next === undefined || next.at > end) break;
      this.timers.shift();
      this.now = next.at;
      next.callback();
    }
    this.now = end;
  }
}

const longFrame = new Uint8Array(90_000).map((_, index) => index % 251);
const shortFrame = new Uint8Array(200);

// Regression: short replies of a server's gate took 54 ms (median) to another zone, behind long ones to other nodes.
test('a short frame to one node does not wait behind a long one to another', () => {
  const link = new VirtualLink(10);
  let longSentAt = 0;
  let shortSentAt = 0;
  const toFirst = link.pacer.createStream((bytes) => (longSentAt = link.send(bytes)));
  const toSecond = link.pacer.createStream((bytes) => (shortSentAt = link.send(bytes)));
  toFirst.write(longFrame);
  link.runUntil(10);
  toSecond.write(shortFrame);
  link.runUntil(200);
  assert.ok(shortSentAt <= 10 + 25, `sent at ${shortSentAt} ms`);
  assert.ok(longSentAt <= 72 * 1.15, `the long frame was sent at ${longSentAt} ms`);
});

test('two long frames share the link, and the bytes of each arrive complete and in order', () => {
  const link = new VirtualLink(10);
  const received: number[][] = [[], []];
  const sentAt = [0, 0];
  const streams = received.map((bytesOfStream, index) =>
    link.pacer.createStream((bytes) => {
      bytesOfStream.push(...bytes);
      sentAt[index] = link.send(bytes);
    }),
  );
  for (const stream of streams) {
    stream.write(longFrame);
    stream.write(shortFrame);
  }
  link.runUntil(400);
  for (const bytes of received) assert.equal(bytes, [...longFrame, ...shortFrame]);
  assert.ok(Math.abs((sentAt[0] ?? 0) - (sentAt[1] ?? 0)) < 20);
  assert.is(link.pacer.waitingConnections, 0);
});

test('a fast link takes the frame at once, and a stream that ends writes what waits', () => {
  const fast = new VirtualLink(1_000);
  let written = 0;
  fast.pacer.createStream((bytes) => (written += bytes.length)).write(longFrame);
  assert.is(written, longFrame.length);
  const slow = new VirtualLink(7);
  let flushed = 0;
  const stream = slow.pacer.createStream((bytes) => (flushed += bytes.length));
  stream.write(longFrame);
  assert.ok(flushed < longFrame.length);
  stream.flush();
  assert.is(flushed, longFrame.length);
});

test.run();
