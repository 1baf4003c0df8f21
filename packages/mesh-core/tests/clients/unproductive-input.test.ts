import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { UnproductiveInput } from '../../src/index.js';

const headerBytes = 16_384;

// Guards against a limit that a head of the largest size meets.
test('a head of the largest size is within the limit, and bytes without end are not', () => {
  const input = new UnproductiveInput();
  input.add(headerBytes);
  assert.not(input.exceeds(headerBytes));
  for (let count = 0; count < 5; count += 1) input.add(1_000);
  assert.ok(input.exceeds(headerBytes));
});

test('a whole head makes room for the next one', () => {
  const input = new UnproductiveInput();
  for (let count = 0; count < 100; count += 1) {
    input.add(headerBytes);
    input.onHead();
  }
  assert.not(input.exceeds(headerBytes));
});

// Guards against a limit that a chunked body inside the limits meets, however short its chunks are.
test('the framing of chunks of a byte is within the limit, and long extensions of chunks are not', () => {
  const input = new UnproductiveInput();
  for (let count = 0; count < 100_000; count += 1) {
    input.add(6);
    input.onBodyBytes(1);
  }
  assert.not(input.exceeds(headerBytes));
  for (let count = 0; count < 100; count += 1) {
    input.add(1_000);
    input.onBodyBytes(1);
  }
  assert.ok(input.exceeds(headerBytes));
});

test.run();
