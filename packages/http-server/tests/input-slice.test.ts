import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { nextSlice } from '../src/input-slice.js';

const maximumBytes = 16_384;

function slicesOf(text: string): string[] {
  let input = Buffer.from(text, 'latin1');
  const slices: string[] = [];
  let isHeadOpen = false;
  while (input.length > 0) {
    const { byteCount, hasText } = nextSlice(input, maximumBytes, isHeadOpen);
    const slice = input.toString('latin1', 0, byteCount);
    isHeadOpen = hasText && !slice.endsWith('\n\r\n');
    slices.push(slice);
    input = input.subarray(byteCount);
  }
  return slices;
}

// Guards against several requests being parsed at once, when only one of them may be.
test('each of several heads is a slice of its own, with the empty lines before it', () => {
  const heads = [
    'GET /a HTTP/1.1\r\nHost: a\r\n\r\n',
    '\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n',
  ];
  assert.equal(slicesOf(heads.join('')), heads);
});

test('the end of a head may be split in any place', () => {
  for (const rest of ['\n\r\n', '\r\n', '\n'])
    assert.ok(nextSlice(Buffer.from(`${rest}1`), maximumBytes, true).byteCount <= rest.length);
});

// Guards against lines without end that take the processor from other connections.
test('a slice has few lines, whatever they contain', () => {
  const { byteCount, lineCount } = nextSlice(
    Buffer.from('1\r\nx\r\n'.repeat(5_000)),
    maximumBytes,
    false,
  );
  assert.is(lineCount, 64);
  assert.is(byteCount, 32 * '1\r\nx\r\n'.length);
});

test('slices are not empty, are within the limit, and make up the input', () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom('\r', '\n', '\r\n', 'a', 'GET / HTTP/1.1', 'x'.repeat(300))),
      fc.integer({ min: 1, max: 500 }),
      fc.boolean(),
      (parts, limit, isHeadOpen) => {
        let input = Buffer.from(parts.join(''));
        while (input.length > 0) {
          const { byteCount } = nextSlice(input, limit, isHeadOpen);
          assert.ok(byteCount > 0 && byteCount <= Math.min(limit, input.length));
          input = input.subarray(byteCount);
        }
      },
    ),
    { seed: 50 },
  );
});

test.run();
