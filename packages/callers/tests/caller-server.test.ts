import { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { HeaderName } from '@peridotspring/core';
import { exchange, rawRequest } from './shared/raw-http.js';
import { TestServer } from './shared/test-server.js';

const key = { 'idempotency-key': 'key-1' };
const longBody = 'x'.repeat(5_000);

/** Invalid requests, with the expected status, outcome, reason, and text that names the invalid field. */
const rejectedInputs: readonly (readonly [string, string, number, string, string, string])[] = [
  [
    'an unknown service',
    rawRequest('GET', '/nothing/a'),
    404,
    'refused-not-run',
    'unknown-service',
    'nothing',
  ],
  [
    'a service named like an object field',
    rawRequest('GET', '/constructor/a'),
    404,
    'refused-not-run',
    'unknown-service',
    'constructor',
  ],
  ['no service', rawRequest('GET', '/'), 404, 'refused-not-run', 'unknown-service', '/<service>/'],
  [
    'a deadline that is not a number',
    rawRequest('GET', '/provenance/a', { [HeaderName.Deadline]: 'soon' }),
    400,
    'refused-not-run',
    'deadline-malformed',
    'Peridotspring-Deadline-Ms',
  ],
  [
    'a deadline of zero',
    rawRequest('GET', '/provenance/a', { [HeaderName.Deadline]: '0' }),
    400,
    'refused-not-run',
    'deadline-malformed',
    '1 to 60000',
  ],
  [
    'a deadline above the maximum',
    rawRequest('GET', '/provenance/a', { [HeaderName.Deadline]: '60001' }),
    400,
    'refused-not-run',
    'deadline-malformed',
    '1 to 60000',
  ],
  [
    'an invalid deadline on a keyed request',
    rawRequest('POST', '/provenance/issue', { ...key, [HeaderName.Deadline]: '-1' }, 'a'),
    400,
    'outcome-unknown',
    'deadline-malformed',
    'Peridotspring-Deadline-Ms',
  ],
  [
    'a depth beyond the limit',
    rawRequest('GET', '/provenance/a', { [HeaderName.Depth]: '17' }),
    400,
    'refused-not-run',
    'depth-exceeded',
    '0 to 16',
  ],
  [
    'a depth that is not a number',
    rawRequest('GET', '/provenance/a', { [HeaderName.Depth]: '1e1' }),
    400,
    'refused-not-run',
    'depth-exceeded',
    'Peridotspring-Depth',
  ],
  [
    'a missing key',
    rawRequest('POST', '/provenance/issue', {}, 'a'),
    400,
    'refused-not-run',
    'key-missing',
    'Idempotency-Key',
  ],
  [
    'a key that is too long',
    rawRequest('POST', '/provenance/issue', { 'idempotency-key': 'k'.repeat(129) }, 'a'),
    400,
    'refused-not-run',
    'key-malformed',
    '128',
  ],
  [
    'a key with a space',
    rawRequest('POST', '/provenance/issue', { 'idempotency-key': 'a b' }, 'a'),
    400,
    'refused-not-run',
    'key-malformed',
    'Idempotency-Key',
  ],
  [
    'a repeated key',
    rawRequest(
      'POST',
      '/provenance/issue',
      { 'Idempotency-Key': 'b', 'idempotency-key': 'a' },
      'a',
    ),
    400,
    'refused-not-run',
    'key-malformed',
    'Idempotency-Key',
  ],
  [
    'an undeclared method without a key',
    rawRequest('DELETE', '/provenance/a'),
    400,
    'refused-not-run',
    'key-missing',
    'Idempotency-Key',
  ],
  [
    'an oversized keyed body',
    rawRequest('POST', '/provenance/issue', key, longBody),
    413,
    'refused-not-run',
    'body-too-large',
    '2048',
  ],
  [
    'an oversized keyed body in chunks',
    rawRequest('POST', '/provenance/issue', {
      ...key,
      'transfer-encoding': 'chunked',
      'content-length': '',
    }).replace('content-length: \r\n', '') + `1388\r\n${longBody}\r\n0\r\n\r\n`,
    413,
    'refused-not-run',
    'body-too-large',
    '2048',
  ],
  [
    'a body above the maximum that the service declares',
    rawRequest('PUT', '/retirement/a', {}, 'x'.repeat(101)),
    413,
    'refused-not-run',
    'body-too-large',
    'retirement must be at most 100 bytes',
  ],
  [
    'a keyed body above the maximum that the service declares',
    rawRequest('POST', '/retirement/a', key, 'x'.repeat(101)),
    413,
    'refused-not-run',
    'body-too-large',
    'retirement must be at most 100 bytes',
  ],
  [
    'a body in chunks above the maximum that the service declares',
    rawRequest('PUT', '/retirement/a', {
      'transfer-encoding': 'chunked',
      'content-length': '',
    }).replace('content-length: \r\n', '') + `65\r\n${'x'.repeat(101)}\r\n0\r\n\r\n`,
    413,
    'refused-not-run',
    'body-too-large',
    'retirement must be at most 100 bytes',
  ],
  [
    'an oversized head',
    rawRequest('GET', '/provenance/a', { filler: longBody }),
    431,
    'refused-not-run',
    'headers-too-large',
    '4096',
  ],
  [
    'two lengths',
    rawRequest(
      'POST',
      '/provenance/issue',
      { ...key, 'Content-Length': '3', 'content-length': '4' },
      'abcd',
    ),
    400,
    'refused-not-run',
    'conflicting-lengths',
    'Content-Length',
  ],
  [
    'a length and chunks',
    rawRequest(
      'POST',
      '/provenance/issue',
      { ...key, 'content-length': '4', 'transfer-encoding': 'chunked' },
      'abcd',
    ),
    400,
    'refused-not-run',
    'conflicting-lengths',
    'Transfer-Encoding',
  ],
];

for (const [name, request, status, outcome, reason, expectedText] of rejectedInputs) {
  test(`${name} is refused at once with the field's name and never reaches the core`, async () => {
    const server = new TestServer();
    await server.start();
    const answer = await exchange(server.port, request);
    await server.callers.close();
    assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(answer.toLowerCase(), `${HeaderName.Outcome}: ${outcome}`);
    assert.match(answer.toLowerCase(), `${HeaderName.Reason}: ${reason}`);
    assert.match(answer, expectedText);
    assert.equal(server.requests, []);
    assert.is(server.finished.length, 1);
  });
}

test('a complete body reaches the core with its digest, and internal headers are removed', async () => {
  const server = new TestServer();
  await server.start();
  server.onRequest = ({ requestNumber }) => {
    const headers = { 'peridotspring-outcome': 'forged', 'x-own': 'kept' };
    const outcome = { kind: 'answered', status: 201 } as const;
    const body = Buffer.from('done');
    server.callers.reply({
      body,
      headers,
      kind: 'reply-to-caller',
      outcome,
      requestNumber,
      streamedBody: false,
    });
  };
  const headers = {
    ...key,
    'peridotspring-forged': '1',
    'peridotspring-tenant': 'cantons',
    'x-own': '2',
  };
  const answer = await exchange(
    server.port,
    rawRequest('POST', '/provenance/issue?n=1', headers, 'abc'),
  );
  await server.callers.close();
  const [request] = server.requests;
  assert.is(Buffer.from(request?.body ?? []).toString(), 'abc');
  assert.is(request?.key, 'key-1');
  assert.is(request?.digest?.length, 64);
  assert.is(request?.head.path, '/issue?n=1');
  assert.is(request?.head.tenant, 'cantons');
  assert.is(request?.head.depth, 0);
  assert.is(request?.head.headers['peridotspring-forged'], undefined);
  assert.is(request?.head.headers['x-own'], '2');
  assert.match(answer, /^HTTP\/1.1 201 /);
  assert.match(answer, 'x-own: kept');
  assert.match(answer, 'peridotspring-outcome: answered');
  assert.not.match(answer, 'forged');
  assert.ok(answer.endsWith('\r\n\r\ndone'));
});

test('a long idempotent body is streamed completely, from its first byte', async () => {
  const server = new TestServer();
  await server.start();
  server.onRequest = ({ requestNumber, streamedBody }) => {
    assert.ok(streamedBody);
    const outcome = { kind: 'answered', status: 200 } as const;
    server.callers.reply({
      headers: {},
      kind: 'reply-to-caller',
      outcome,
      requestNumber,
      streamedBody: true,
    });
    const body = server.callers.requestBodyStream(requestNumber);
    const sink = server.callers.responseStream(requestNumber);
    assert.ok(body !== undefined && sink !== undefined);
    void pipeline(body, sink);
  };
  const answer = await exchange(server.port, rawRequest('PUT', '/provenance/a', {}, longBody));
  await server.callers.close();
  assert.is(answer.split('x').length - 1, longBody.length);
});

test('a truncated response closes the connection, so that it never looks complete', async () => {
  const server = new TestServer();
  await server.start();
  server.onRequest = ({ requestNumber }) => {
    const outcome = { kind: 'answered', status: 200 } as const;
    server.callers.reply({
      headers: {},
      kind: 'reply-to-caller',
      outcome,
      requestNumber,
      streamedBody: true,
    });
    const sink = server.callers.responseStream(requestNumber);
    const cut = Readable.from(
      (function* () {
        yield 'part';
        throw new Error('cut');
      })(),
    );
    if (sink !== undefined) {
      pipeline(cut, sink).catch(() => undefined);
    }
  };
  const answer = await exchange(server.port, rawRequest('GET', '/provenance/a'));
  await server.callers.close();
  assert.not.ok(answer.endsWith('0\r\n\r\n'));
  // Without this report, operators would not see that callers receive truncated responses.
  const [finished] = server.finished;
  const reason = finished?.outcome.kind === 'outcome-unknown' ? finished.outcome.reason : '';
  assert.is(reason, 'answer-cut');
});

test('a request body truncated by the caller never reaches the core', async () => {
  const server = new TestServer();
  await server.start();
  const head = rawRequest('POST', '/provenance/issue', { ...key, 'content-length': '100' });
  const { connect } = await import('node:net');
  const socket = connect({ host: '127.0.0.1', port: server.port });
  await new Promise<void>((resolve) =>
    socket.write(`${head}only a part`, () => {
      resolve();
    }),
  );
  socket.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  await server.callers.close();
  assert.equal(server.requests, []);
});

test('a stopping node refuses requests at once and never reports a keyed request as not run', async () => {
  const server = new TestServer();
  await server.start();
  server.isStopping = true;
  const lookup = await exchange(server.port, rawRequest('GET', '/provenance/a'));
  const keyed = await exchange(server.port, rawRequest('POST', '/provenance/issue', key, 'a'));
  await server.callers.close();
  assert.match(lookup, 'peridotspring-outcome: refused-not-run');
  assert.match(lookup, 'retry-after: 1');
  for (const answer of [lookup, keyed]) assert.match(answer, 'peridotspring-reason: node-stopping');
  assert.match(keyed, 'peridotspring-outcome: outcome-unknown');
  assert.match(keyed, 'peridotspring-attempt: not-started');
});

test('requests above the limit are refused, so that memory stays bounded', async () => {
  const server = new TestServer({ requests: 1 });
  await server.start();
  const waiting = exchange(server.port, rawRequest('GET', '/provenance/a'));
  while (server.requests.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  const second = await exchange(server.port, rawRequest('GET', '/provenance/b'));
  assert.match(second, 'peridotspring-reason: entry-busy');
  await server.callers.close();
  await waiting;
});

/** Requests with a body for which there is no memory, and the outcome: an earlier request with the key may have run. */
const requestsWithoutMemory: readonly (readonly [string, string, string])[] = [
  [
    'an idempotent request',
    rawRequest('PUT', '/provenance/a', { 'content-length': '80000' }),
    'refused-not-run',
  ],
  [
    'a keyed request',
    rawRequest('POST', '/provenance/issue', { ...key, 'content-length': '80000' }),
    'outcome-unknown',
  ],
];

for (const [name, request, outcome] of requestsWithoutMemory) {
  test(`${name} without memory for its body is refused and never reaches the core`, async () => {
    const memoryBytes = 60_000;
    const limits = { bufferedBodyBytes: 100_000, keyedBodyBytes: 100_000 };
    const server = new TestServer(limits, memoryBytes);
    await server.start();
    const answer = await exchange(server.port, request);
    await server.callers.close();
    assert.match(answer, /^HTTP\/1.1 503 /);
    assert.match(answer, `peridotspring-outcome: ${outcome}`);
    assert.match(answer, 'peridotspring-reason: entry-busy');
    assert.match(answer, 'peridotspring-attempt: not-started');
    assert.equal(server.requests, []);
  });
}

/** Parts of a body of 5,000 bytes that stop short, and what the caller receives. */
const shortBodies: readonly (readonly [string, number, RegExp])[] = [
  ['before any of it is passed on, gets a 408', 500, /^HTTP\/1.1 408 /],
  ['after a part of it was passed on, gets no response', 2_000, /^$/],
];

for (const [name, byteCount, expected] of shortBodies) {
  test(`a body that stops short ${name}`, async () => {
    const server = new TestServer({ requestTimeoutMilliseconds: 100 });
    await server.start();
    server.onRequest = ({ requestNumber }) => {
      server.callers
        .requestBodyStream(requestNumber)
        ?.on('error', () => undefined)
        .resume();
    };
    const head = rawRequest('PUT', '/provenance/a', { 'content-length': '5000' });
    const answer = await exchange(server.port, head + 'x'.repeat(byteCount));
    await server.callers.close();
    assert.match(answer, expected);
    assert.equal(server.faults, ['request-late']);
  });
}

test('a stop answers the requests in progress, announces the close and closes idle connections', async () => {
  const server = new TestServer();
  await server.start();
  const idle = exchange(server.port, '');
  const head = rawRequest('GET', '/provenance/a').replace('connection: close\r\n', '');
  const waiting = exchange(server.port, head);
  while (server.requests.length === 0) await new Promise((resolve) => setTimeout(resolve, 2));
  server.callers.stopAccepting();
  assert.is(await idle, '');
  const [request] = server.requests;
  server.callers.reply({
    body: Buffer.from('done'),
    headers: {},
    kind: 'reply-to-caller',
    outcome: { kind: 'answered', status: 200 },
    requestNumber: request?.requestNumber ?? 0,
    streamedBody: false,
  });
  assert.match(await waiting, /connection: close[^]*done$/i);
  await server.callers.close();
});

test('a caller that disconnects is reported, so that its work can be cancelled', async () => {
  const server = new TestServer();
  await server.start();
  const { connect } = await import('node:net');
  const socket = connect({ host: '127.0.0.1', port: server.port });
  server.onRequest = () => socket.destroy();
  socket.write(rawRequest('GET', '/provenance/a'));
  while (!server.delivered.some(({ kind }) => kind === 'caller-gone')) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  await server.callers.close();
});

test.run();
