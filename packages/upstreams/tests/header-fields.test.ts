import type { RequestHead } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { upstreamResponseFields, upstreamRequestFields } from '../src/header-fields.js';

const head = (headers: RequestHead['headers'], method = 'POST'): RequestHead => ({
  depth: 2,
  headers,
  method,
  path: '/',
  requestId: 'r-1',
  service: 'antrag',
  tenant: 'coop',
});

const addedFields = {
  'peridotspring-deadline-ms': '1500',
  'peridotspring-depth': '3',
  'peridotspring-request-id': 'r-1',
  'peridotspring-tenant': 'coop',
};

test('hop-by-hop fields and forged internal fields are not forwarded to the upstream', () => {
  const fields = upstreamRequestFields(
    head({
      Accept: 'text/plain',
      Connection: 'close, X-Hop',
      Expect: '100-continue',
      'Idempotency-Key': 'k',
      'Keep-Alive': 'timeout=1',
      'Peridotspring-Depth': '0',
      'Peridotspring-Outcome': 'answered',
      TE: 'trailers',
      'Transfer-Encoding': 'chunked',
      'X-Hop': 'a',
      'X-Many': ['a', 'b'],
    }),
    1_500.9,
    4,
  );
  const kept = { accept: 'text/plain', 'idempotency-key': 'k', 'x-many': ['a', 'b'] };
  assert.equal(fields, { ...kept, ...addedFields, 'content-length': 4 });
});

const lengthCases = [
  { expected: 0, headers: { 'content-length': '9' }, length: 0, method: 'POST' },
  { expected: undefined, headers: { 'content-length': '9' }, length: 0, method: 'GET' },
  { expected: '9', headers: { 'content-length': '9' }, length: 'streamed', method: 'POST' },
  { expected: undefined, headers: {}, length: 'streamed', method: 'POST' },
] as const;

for (const { expected, headers, length, method } of lengthCases) {
  test(`${method} with a body of ${length} sends the content-length ${expected ?? 'not at all'}`, () => {
    const fields = upstreamRequestFields(head(headers, method), 1_500, length);
    assert.is(fields['content-length'], expected);
  });
}

test('an expired deadline is sent as 0, not as a negative number', () => {
  assert.is(upstreamRequestFields(head({}), -3, 0)['peridotspring-deadline-ms'], '0');
});

test('hop-by-hop fields and internal fields of an upstream response are not forwarded', () => {
  const fields = upstreamResponseFields({
    headersDistinct: {
      connection: ['close', 'x-hop'],
      'content-length': ['4'],
      'peridotspring-outcome': ['refused-not-run'],
      'set-cookie': ['a=1', 'b=2'],
      'transfer-encoding': ['chunked'],
      'x-hop': ['a'],
    },
  });
  assert.equal(fields, { 'content-length': '4', 'set-cookie': ['a=1', 'b=2'] });
});

test.run();
