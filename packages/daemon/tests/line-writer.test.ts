import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LineWriter } from '../src/mesh/index.js';

test('a reader that stops costs lines, which are counted, and holds nothing else up', () => {
  const pending: (() => void)[] = [];
  const written: string[] = [];
  const writer = new LineWriter({
    maximumBytes: 100,
    write: (bytes, done) => {
      written.push(bytes);
      pending.push(done);
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

test('lines leave together and in their order', () => {
  const written: string[] = [];
  const writer = new LineWriter({
    write: (bytes, done) => {
      written.push(bytes);
      done();
    },
  });
  writer.write('a\n');
  writer.write('b\n');
  writer.flush();
  assert.equal(written, ['a\nb\n']);
});

test.run();
