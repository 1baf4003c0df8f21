import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { formatLine, formatValue } from '../../src/index.js';

/** Values that a caller could send, and their expected format. */
const formatCases: readonly (readonly [string | number | boolean, string])[] = [
  ['/claims/7', '/claims/7'],
  ['', '""'],
  [7.5, '7.5'],
  [true, 'true'],
  ['two words', '"two words"'],
  ['a=b', '"a=b"'],
  ['say "x"', '"say \\"x\\""'],
  ['back\\slash', '"back\\\\slash"'],
  ['x\nlevel=error event=forged', '"x\\nlevel=error event=forged"'],
  ['x\r\ny', '"x\\r\\ny"'],
  ['x\u2028y\u2029z\u0085', '"x\\u2028y\\u2029z\\u0085"'],
  ['tab\tnull\u0000', '"tab\\tnull\\u0000"'],
  ['\u001b[2J', '"\\u001b[2J"'],
  ['\u202egpj.exe', '"\\u202egpj.exe"'],
  ['\ud800', '"\\ud800"'],
  ['Zürich', '"Zürich"'],
  ['\u{1f33e}', '"\u{1f33e}"'],
];

for (const [value, expected] of formatCases) {
  test(`a value cannot forge a key, a value or a line: ${JSON.stringify(value)}`, () => {
    assert.is(formatValue(value), expected);
  });
}

test('a field cannot replace the time, the level or the event', () => {
  const fields = { 'a b\n': 1, event: 'x', level: 'error', time: 2 };
  const line = formatLine({ event: 'real', fields, level: 'info', time: 0 });
  assert.is(
    line,
    'time=1970-01-01T00:00:00.000Z level=info event=real a_b_=1 field_event=x field_level=error field_time=2',
  );
});

test('a long value is truncated, so that a single request cannot fill the log', () => {
  assert.ok(formatValue('x'.repeat(100_000)).length < 1_100);
});

test('any value stays on one line and can be parsed back', () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 200, unit: 'binary' }), (value) => {
      const line = formatLine({ event: 'e', fields: { value }, level: 'info', time: 0 });
      const written = line.slice(line.indexOf('value=') + 'value='.length);
      assert.is(written.split(/[\r\n\u0085\u2028\u2029]/).length, 1);
      assert.is(written.startsWith('"') ? (JSON.parse(written) as string) : written, value);
    }),
    { numRuns: 500, seed: 3 },
  );
});

test.run();
