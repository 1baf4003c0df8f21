import { connect } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Metrics, OperatorServer, SecretCheck } from '../src/index.js';
import { createNode, directParser } from './in-memory-backend.js';

const node = createNode();
const server = new OperatorServer({
  backend: node.backend,
  limits: { bodyBytes: 1_000, connections: 4, headerBytes: 2_000, requestTimeoutMilliseconds: 500 },
  metrics: new Metrics(),
  parser: directParser,
  secrets: { current: 'new-secret', previous: 'old-secret' },
});
let base = '';

const port = suite('operator port');
port.before(async () => {
  base = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
});
port.after(() => server.close());

function post(body: string, secret = 'new-secret'): Promise<Response> {
  const headers = { authorization: `Bearer ${secret}` };
  return fetch(`${base}/query`, { body, headers, method: 'POST' });
}

/** Authorization header and whether it is accepted. */
const authorizations: readonly (readonly [string | undefined, boolean])[] = [
  ['Bearer new-secret', true],
  ['bearer old-secret', true],
  ['Bearer other', false],
  ['Bearer ', false],
  ['Basic new-secret', false],
  ['Bearer new-secret x', false],
  [undefined, false],
];

for (const [authorization, isAccepted] of authorizations) {
  port(`only the current and the previous secret open the port: ${authorization ?? 'none'}`, () => {
    const check = new SecretCheck({ current: 'new-secret', previous: 'old-secret' });
    assert.is(check.accepts(authorization), isAccepted);
    assert.not(new SecretCheck({ current: 'a', previous: '' }).accepts('Bearer '));
  });
}

port('queries and metrics need the secret, health and readiness do not', async () => {
  const statuses = await Promise.all(
    ['/metrics', '/health', '/ready'].map(async (path) => (await fetch(base + path)).status),
  );
  assert.equal(statuses, [401, 200, 200]);
  assert.is((await post('{"text":"show services"}', 'wrong')).status, 401);
});

/** Body of a query and the status of its answer. */
const queries: readonly (readonly [string, number])[] = [
  ['{"text":"show services"}', 200],
  ['{"text":"show servces"}', 400],
  ['{"text":1}', 400],
  ['{', 400],
  ['[]', 400],
  ['{"text":"show services","output":"xml"}', 400],
  ['{"text":"drain server a","changeId":"a b"}', 400],
  ['{"text":"drain server a","changeId":"c1"}', 200],
  ['{"text":"drain server b","changeId":"c1"}', 422],
  [JSON.stringify({ text: 'x'.repeat(2_000) }), 413],
];

for (const [body, status] of queries) {
  port(`each result has its status: ${body.slice(0, 60)}`, async () => {
    assert.is((await post(body)).status, status);
  });
}

port('a table is returned beside the rows', async () => {
  const response = await post('{"text":"show services","output":"table"}');
  const result = (await response.json()) as { readonly table: string };
  assert.match(result.table, /service\s+declared/);
});

/** Sends bytes and returns everything that the server sends until it closes. */
function exchange(bytes: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(Number(new URL(base).port), '127.0.0.1', () => socket.write(bytes));
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received);
    });
  });
}

port('headers of hostile size are refused', async () => {
  const answer = await exchange(
    `GET /health HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(3_000)}\r\n\r\n`,
  );
  assert.match(answer, /^HTTP\/1\.1 431/);
});

port('a client that sends its request slowly does not keep its connection', async () => {
  assert.match(await exchange('GET /health HTTP/1.1\r\nHost: a\r\n'), /^HTTP\/1\.1 408/);
});

port('an error of the node is answered and leaves the port open', async () => {
  const { backend } = createNode();
  backend.rows = () => Promise.reject(new Error('a fault'));
  const faulty = new OperatorServer({
    backend,
    metrics: new Metrics(),
    parser: directParser,
    secrets: { current: 'new-secret' },
  });
  const faultyBase = `http://127.0.0.1:${await faulty.listen('127.0.0.1', 0)}`;
  const response = await fetch(`${faultyBase}/query`, {
    body: '{"text":"show services"}',
    headers: { authorization: 'Bearer new-secret' },
    method: 'POST',
  });
  assert.is(response.status, 500);
  assert.is((await fetch(`${faultyBase}/health`)).status, 200);
  await faulty.close();
});

port.run();
