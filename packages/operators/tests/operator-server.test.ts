import { connect } from 'node:net';

import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Metrics, OperatorServer, SecretVerifier } from '../src/index.js';
import { createNode, directParser } from './in-memory-backend.js';

const node = createNode();
const server = new OperatorServer({
  ...createLoopbackOptions(),
  backend: node.backend,
  limits: { bodyBytes: 1_000, connections: 4, headerBytes: 2_000, requestTimeoutMilliseconds: 500 },
  metrics: new Metrics(),
  parser: directParser,
  secrets: { current: 'new-secret', previous: 'old-secret' },
});
let base = '';

const portSuite = suite('operator port');
portSuite.before(async () => {
  base = `http://127.0.0.1:${await server.listen()}`;
});
portSuite.after(() => server.close());

function post(body: string, secret = 'new-secret'): Promise<Response> {
  const headers = { authorization: `Bearer ${secret}` };
  return fetch(`${base}/query`, { body, headers, method: 'POST' });
}

/** `Authorization` header, and whether it is accepted. */
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
  portSuite(
    `only the current and the previous secret are accepted: ${authorization ?? 'none'}`,
    () => {
      const check = new SecretVerifier({ current: 'new-secret', previous: 'old-secret' });
      assert.is(check.accepts(authorization), isAccepted);
      assert.not(new SecretVerifier({ current: 'a', previous: '' }).accepts('Bearer '));
    },
  );
}

portSuite('queries and metrics require the secret, health and readiness do not', async () => {
  const statuses = await Promise.all(
    ['/metrics', '/health', '/ready'].map(async (path) => (await fetch(base + path)).status),
  );
  assert.equal(statuses, [401, 200, 200]);
  assert.is((await post('{"text":"show services"}', 'wrong')).status, 401);
});

/** Body of a query, and the status of its response. */
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
  portSuite(`a query gets the HTTP status of its result: ${body.slice(0, 60)}`, async () => {
    assert.is((await post(body)).status, status);
  });
}

portSuite('a table is returned in addition to the rows', async () => {
  const response = await post('{"text":"show services","output":"table"}');
  const result = (await response.json()) as { readonly table: string };
  assert.match(result.table, /service\s+declared/);
});

/** Sends bytes and returns everything that the server sends until it closes the connection. */
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

portSuite('oversized headers are rejected', async () => {
  const answer = await exchange(
    `GET /health HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(3_000)}\r\n\r\n`,
  );
  assert.match(answer, /^HTTP\/1\.1 431/);
});

portSuite('the connection of a client that sends its request too slowly is closed', async () => {
  assert.match(await exchange('GET /health HTTP/1.1\r\nHost: a\r\n'), /^HTTP\/1\.1 408/);
});

portSuite('an error in the node gets a 500 response, and the port stays open', async () => {
  const { backend } = createNode();
  backend.localRows = () => Promise.reject(new Error('an error in the node'));
  const failingServer = new OperatorServer({
    ...createLoopbackOptions(),
    backend,
    metrics: new Metrics(),
    parser: directParser,
    secrets: { current: 'new-secret' },
  });
  const failingBase = `http://127.0.0.1:${await failingServer.listen()}`;
  const response = await fetch(`${failingBase}/query`, {
    body: '{"text":"show services"}',
    headers: { authorization: 'Bearer new-secret' },
    method: 'POST',
  });
  assert.is(response.status, 500);
  assert.is((await fetch(`${failingBase}/health`)).status, 200);
  await failingServer.close();
});

portSuite.run();
