import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { endToEndHeaders, headerValues, toOutgoingHeaders } from '../../src/index.js';

/** Title, header fields as received, and the fields that are forwarded. */
const cases: readonly (readonly [
  string,
  readonly string[],
  readonly (readonly [string, string])[],
])[] = [
  [
    'end-to-end fields are forwarded unchanged',
    ['Accept', '*/*', 'X-A', '1'],
    [
      ['accept', '*/*'],
      ['x-a', '1'],
    ],
  ],
  [
    'hop-by-hop fields are dropped',
    ['Connection', 'close', 'Keep-Alive', 'timeout=5', 'X-A', '1'],
    [['x-a', '1']],
  ],
  [
    'fields that the Connection field lists are dropped',
    ['X-B', '2', 'Connection', 'x-b, close', 'X-A', '1'],
    [['x-a', '1']],
  ],
  [
    'the body length fields are dropped, since they are set again',
    ['Content-Length', '5', 'Transfer-Encoding', 'chunked'],
    [],
  ],
  ['reserved fields are dropped', ['X-Own', 'forged', 'X-A', '1'], [['x-a', '1']]],
  [
    'repeated fields keep their order',
    ['Set-Cookie', 'a', 'Set-Cookie', 'b'],
    [
      ['set-cookie', 'a'],
      ['set-cookie', 'b'],
    ],
  ],
];

for (const [title, rawHeaders, expected] of cases) {
  test(title, () => {
    assert.equal(endToEndHeaders(rawHeaders, new Set(['x-own'])), expected);
  });
}

test('a field with several values becomes an array', () => {
  const fields = toOutgoingHeaders([
    ['a', '1'],
    ['b', '2'],
    ['a', '3'],
  ]);
  assert.equal({ ...fields }, { a: ['1', '3'], b: '2' });
});

// Guards against field names that every object inherits: `constructor` became an array with a function in it, which
// could not be written and ended the process.
test('a field may have the name of a property that objects inherit', () => {
  const names = ['constructor', '__proto__', 'tostring'];
  const fields = toOutgoingHeaders(names.map((name) => [name, 'v']));
  assert.equal(Object.entries(fields), [
    ['constructor', 'v'],
    ['__proto__', 'v'],
    ['tostring', 'v'],
  ]);
});

test('all values of a field are found, in whatever case its name was sent', () => {
  const rawHeaders = [
    'Host',
    'a',
    'Authorization',
    '1',
    'AUTHORIZATION',
    '2',
    'x-authorization',
    '3',
  ];
  assert.equal(headerValues(rawHeaders, 'authorization'), ['1', '2']);
  assert.equal(headerValues(rawHeaders, 'other'), []);
});

test.run();
