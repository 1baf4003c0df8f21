import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LineWriter } from '../src/mesh/index.js';

const decodeText = (bytes: Uint8Array): string => Buffer.from(bytes).toString();

function errorWith(code: string): NodeJS.ErrnoException {
  return Object.assign(new Error(code), { code });
}

test('if the reader stops, lines are dropped and counted, and writes do not block', () => {
  const pending: (() => void)[] = [];
  const written: string[] = [];
  const writer = new LineWriter({
    maximumBytes: 100,
    write: (bytes, done) => {
      written.push(decodeText(bytes));
      pending.push(() => {
        done(null, bytes.length);
      });
    },
  });
  for (let count = 0; count < 5; count += 1) writer.write('0123456789\n');
  writer.flush();
  for (let count = 0; count < 50; count += 1) writer.write('0123456789\n');
  assert.is(written.length, 1);
  assert.is(writer.droppedLines, 46);
  pending.shift()?.();
  assert.is(written.length, 2);
  assert.match(written[1] ?? '', 'event=log-lines-dropped count=46');
  pending.shift()?.();
  writer.write('later\n');
  writer.flush();
  assert.is(written.at(-1), 'later\n');
});

test('lines are written in one batch and in their order', () => {
  const written: string[] = [];
  const writer = new LineWriter({
    write: (bytes, done) => {
      written.push(decodeText(bytes));
      done(null, bytes.length);
    },
  });
  writer.write('a\n');
  writer.write('b\n');
  writer.flush();
  assert.equal(written, ['a\nb\n']);
});

// Regression: a nearly full pipe accepts only a part of the bytes, and the rest was lost without being counted.
test('bytes that a pipe did not accept are written again', async () => {
  let taken = '';
  let calls = 0;
  const writer = new LineWriter({
    write: (bytes, done) => {
      calls += 1;
      if (calls === 2) {
        done(errorWith('EAGAIN'), 0);
        return;
      }
      taken += decodeText(bytes.subarray(0, 4));
      done(null, Math.min(4, bytes.length));
    },
  });
  writer.write('first\n');
  writer.write('second\n');
  writer.flush();
  await new Promise((resolve) => setTimeout(resolve, 200));
  assert.is(taken, 'first\nsecond\n');
  assert.is(writer.droppedLines, 0);
});

test('lines that cannot be written are counted', () => {
  const writer = new LineWriter({
    write: (_bytes, done) => {
      done(errorWith('EPIPE'), 0);
    },
  });
  writer.write('first\n');
  writer.write('second\n');
  writer.flush();
  assert.is(writer.droppedLines, 2);
});

test.run();
