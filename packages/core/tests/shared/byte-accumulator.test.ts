import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ByteAccumulator } from '../../src/index.js';

test('the bytes come back in order, whatever the chunks, and twice their length is held at most', () => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
  fc.assert(
    fc.property(chunks, (parts) => {
      const accumulator = new ByteAccumulator(100_000);
      for (const part of parts) {
        accumulator.append(part);
        assert.ok(accumulator.heldBytes <= Math.max(1_024, 2 * accumulator.length));
      }
      assert.is(accumulator.length, Buffer.concat(parts).length);
      assert.ok(Buffer.concat(parts).equals(accumulator.take()));
      assert.is(accumulator.heldBytes, 0);
    }),
  );
});

test('no more than the limit is held before it is exceeded', () => {
  const accumulator = new ByteAccumulator(10_000);
  for (let length = 1; length <= 10_000; length += 1) {
    accumulator.append(Buffer.alloc(1));
    assert.ok(accumulator.heldBytes <= 10_000);
  }
});

// A part of a receive buffer of 64 KiB would keep all of it alive.
test('a chunk that is part of a larger buffer is copied', () => {
  const accumulator = new ByteAccumulator(100_000);
  accumulator.append(Buffer.alloc(65_536).subarray(0, 16));
  assert.ok(accumulator.heldBytes < 65_536);
  assert.ok(accumulator.take().buffer.byteLength <= 1_024);
});

test.run();
