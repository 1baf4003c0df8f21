import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { endToEndList, outgoingFields } from '../../src/index.js';

/** Fields as they came, and those that go on. */
const cases: readonly (readonly [
  string,
  readonly string[],
  readonly (readonly [string, string])[],
])[] = [
  [
    'other fields go on unchanged',
    ['Accept', '*/*', 'X-A', '1'],
    [
      ['accept', '*/*'],
      ['x-a', '1'],
    ],
  ],
  [
    'fields of one connection do not',
    ['Connection', 'close', 'Keep-Alive', 'timeout=5', 'X-A', '1'],
    [['x-a', '1']],
  ],
  [
    'fields that Connection names do not',
    ['X-B', '2', 'Connection', 'x-b, close', 'X-A', '1'],
    [['x-a', '1']],
  ],
  ['the length is written anew', ['Content-Length', '5', 'Transfer-Encoding', 'chunked'], []],
  ['fields that only the system sets are dropped', ['X-Own', 'forged', 'X-A', '1'], [['x-a', '1']]],
  [
    'repeated fields keep their order',
    ['Set-Cookie', 'a', 'Set-Cookie', 'b'],
    [
      ['set-cookie', 'a'],
      ['set-cookie', 'b'],
    ],
  ],
];

for (const [name, raw, expected] of cases) {
  test(name, () => {
    assert.equal(endToEndList(raw, new Set(['x-own'])), expected);
  });
}

test('a field with several values is written as often', () => {
  const fields = outgoingFields([
    ['a', '1'],
    ['b', '2'],
    ['a', '3'],
  ]);
  assert.equal(fields, { a: ['1', '3'], b: '2' });
});

test.run();
