import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { exchange } from './shared/raw-http.js';
import { TestServer } from './shared/test-server.js';

const manyFields = Array.from({ length: 1_000 }, (_, index) => `x${index}: 1`);
const key = 'Idempotency-Key: k';
const line = 'POST /provenance/issue HTTP/1.1';
const usualFields = ['Host: test', 'Connection: close'];
const lengthField = 'Content-Length: 4';
const chunkedField = 'Transfer-Encoding: chunked';

/** Sends a keyed request; returns the status, and what reached the core. */
async function send(
  fields: readonly string[],
  body: string,
): Promise<readonly [status: string, server: TestServer]> {
  const server = new TestServer({ headerBytes: 16_384 });
  server.onRequest = ({ requestNumber }) => {
    const outcome = { kind: 'refused-not-run', reason: 'draining' } as const;
    server.callers.reply({ kind: 'reply-to-caller', outcome, requestNumber, streamedBody: false });
  };
  await server.start();
  try {
    const answer = await exchange(server.port, [line, ...fields, '', body].join('\r\n'));
    return [answer.split(' ')[1] ?? 'none', server];
  } finally {
    await server.callers.close();
  }
}

// Regression (UNASKED): by default, Node.js drops the fields after the thousandth without an error, also those that tell of a body.
test('a keyed request whose body and key are told after the thousandth field runs unchanged', async () => {
  const fields = [...manyFields, ...usualFields, key, 'Peridotspring-Tenant: coop', lengthField];
  const [status, server] = await send(fields, 'abcd');
  const [request] = server.requests;
  assert.is(status, '503');
  assert.equal(Buffer.from(request?.body ?? []).toString(), 'abcd');
  assert.is(request?.key, 'k');
  assert.is(request?.head.tenant, 'coop');
  assert.is(
    Object.keys(request?.head.headers ?? {}).filter((name) => name.startsWith('x')).length,
    1_000,
  );
});

// Regression: Node.js keeps only the first value of some repeated fields.
test('all values of repeated fields are passed on', async () => {
  const repeated = ['Content-Type: a', 'Content-Type: b', 'Authorization: c', 'Authorization: d'];
  const [, server] = await send([...usualFields, key, ...repeated, lengthField], 'abcd');
  const { authorization, 'content-type': type } = server.requests[0]?.head.headers ?? {};
  assert.equal({ authorization, type }, { authorization: ['c', 'd'], type: ['a', 'b'] });
});

/** Name, status, fields beside the usual ones, body, and the fault that is counted. */
const refused = [
  ['two hosts', '400', ['Host: other', lengthField], 'abcd', 'conflicting-hosts'],
  [
    'two tenants',
    '400',
    ['Peridotspring-Tenant: a', 'Peridotspring-Tenant: b'],
    '',
    'repeated-field',
  ],
  ['a field that objects can not have', '400', ['__proto__: a', lengthField], 'abcd', 'malformed'],
  [
    'another transfer coding',
    '501',
    ['Transfer-Encoding: gzip, chunked'],
    '4\r\nabcd\r\n0\r\n\r\n',
    'transfer-coding',
  ],
  ['trailers', '400', [chunkedField], '4\r\nabcd\r\n0\r\nX-T: 1\r\n\r\n', 'trailers'],
] as const;

for (const [name, expected, fields, body, fault] of refused) {
  test(`refused, and not passed on: ${name}`, async () => {
    const [status, server] = await send([...usualFields, key, ...fields], body);
    assert.is(status, expected);
    assert.equal(server.requests, []);
    assert.equal(server.faults, [fault]);
  });
}

test.run();
