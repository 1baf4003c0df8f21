import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';

import { DeferredInput } from '@peridotspring/http-server';
import { MemoryPlace, RouteTable, TenantDirectory } from '@peridotspring/mesh-core';
import type { EntryOutcome, EntryRequest } from '@peridotspring/mesh-core';
import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteServer } from '../src/index.js';
import { callerLimits, lookupRoute } from './shared/lookup-route.js';

const limits = callerLimits(2_000);
/** Leaves time for a body in many chunks, whose processor time is limited. */
const uploadRoute = {
  ...lookupRoute,
  name: 'upload',
  pathPrefix: '/upload/',
  timeoutMilliseconds: 10_000,
};
const publicRoute = { ...lookupRoute, isPublic: true, name: 'public', pathPrefix: '/public/' };
const table = new RouteTable({
  limits,
  routes: [lookupRoute, publicRoute, uploadRoute],
  services: new Map(),
  version: 1,
});

interface TestResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

interface TestRequest {
  readonly path?: string;
  readonly host?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly method?: string;
}

class TestRouteServer {
  public readonly delivered: EntryRequest[] = [];
  public readonly goneRequests: number[] = [];
  public readonly agent = new Agent({ keepAlive: true });
  public readonly containedErrors: string[] = [];
  public requestError: Error | undefined;
  public limits = limits;
  public isConfigured = true;
  public isConfirmed = true;
  public isKeyProven = true;
  public tenants: TenantDirectory | undefined;
  public outcome: EntryOutcome | undefined = {
    body: Buffer.from('body'),
    headers: [['x-a', '1']],
    kind: 'answered',
    status: 200,
  };
  public port = 0;
  public readonly protocolMemory = createMemoryAccount();
  public readonly server = new RouteServer({
    onAnsweredLocally: () => undefined,
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => 1_000,
    maximumConnections: 1_000,
    deferredInput: new DeferredInput(),
    memory: createMemoryAccount(),
    protocolMemory: this.protocolMemory,
    onClientFault: () => undefined,
    onRequest: (request) => {
      if (this.requestError !== undefined) throw this.requestError;
      this.delivered.push(request);
      if (this.outcome !== undefined) this.server.respond(request, this.outcome);
    },
    onCallerGone: (requestNumber) => this.goneRequests.push(requestNumber),
    headerNames: {
      authorization: 'authorization',
      deadline: 'x-deadline',
      requestId: 'x-request-id',
      reserved: new Set(['x-caller', 'x-deadline', 'x-request-id', 'x-tenant']),
    },
    onErrorContained: (requestId) => this.containedErrors.push(requestId),
    onRequestsDiscarded: () => undefined,
    routing: () =>
      this.isConfigured
        ? {
            isConfirmed: this.isConfirmed,
            isKeyProven: this.isKeyProven,
            limits: this.limits,
            table,
            tenants: this.tenants,
          }
        : undefined,
    onPipelineWait: () => undefined,
  });

  public async call({
    body,
    headers,
    host,
    method,
    path,
  }: TestRequest = {}): Promise<TestResponse> {
    return new Promise((resolve, reject) => {
      const request = httpRequest(
        {
          agent: this.agent,
          headers: { host: host ?? 'shop.example', 'x-request-id': 'r1', ...headers },
          host: '127.0.0.1',
          method: method ?? (body === undefined ? 'GET' : 'POST'),
          path: path ?? '/a/b?c=1',
          port: this.port,
        },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => (text += chunk));
          response.on('end', () => {
            resolve({ body: text, headers: response.headers, status: response.statusCode ?? 0 });
          });
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}

async function withServer(run: (testServer: TestRouteServer) => Promise<void>): Promise<void> {
  const testServer = new TestRouteServer();
  testServer.port = await testServer.server.listen();
  testServer.server.configure(limits);
  try {
    await run(testServer);
  } finally {
    testServer.agent.destroy();
    await testServer.server.close();
  }
}

test('each answer states its exact length, so that one that is cut off on the way cannot look complete', async () => {
  for (const body of ['', 'b', 'x'.repeat(200_000)]) {
    await withServer(async (testServer) => {
      testServer.outcome = { body: Buffer.from(body), headers: [], kind: 'answered', status: 200 };
      const { headers } = await testServer.call();
      assert.is(headers['content-length'], String(body.length));
    });
  }
});

test('a request is passed on unchanged, except that reserved headers are removed', async () => {
  await withServer(async (testServer) => {
    const headers = { 'x-b': '2', 'x-caller': 'forged', 'x-deadline': '300' };
    const answer = await testServer.call({ body: 'data', headers });
    const [request] = testServer.delivered;
    assert.is(request?.path, '/a/b?c=1');
    assert.is(Buffer.from(request?.body ?? []).toString(), 'data');
    assert.is(request?.requestId, 'r1');
    assert.is(request?.callerDeadline, 1_300);
    assert.ok(request?.headers.some(([name, value]) => name === 'x-b' && value === '2'));
    assert.not(request?.headers.some(([name]) => name.startsWith('x-caller')));
    assert.is(answer.body, 'body');
    assert.is(answer.headers['x-a'], '1');
  });
});

test('a request without a deadline header gets the timeout of its route', async () => {
  await withServer(async (testServer) => {
    await testServer.call();
    assert.is(testServer.delivered[0]?.callerDeadline, 1_700);
  });
});

/** An outcome, and the status and Retry-After header of its response. */
const outcomes: readonly (readonly [EntryOutcome, number, string | undefined])[] = [
  [{ cause: 'overloaded', kind: 'refused', retryAfterMilliseconds: 250 }, 503, '0.250'],
  [{ cause: 'no-server', kind: 'refused', retryAfterMilliseconds: 1_000 }, 503, '1.000'],
  [{ cause: 'allotment-used', kind: 'refused', retryAfterMilliseconds: 400 }, 429, '0.400'],
  [{ cause: 'timeout', kind: 'unknown' }, 504, undefined],
  [{ cause: 'attempt-failed', kind: 'unknown' }, 502, undefined],
];

for (const [outcome, status, retryAfter] of outcomes) {
  test(`${outcome.kind} ${'cause' in outcome ? outcome.cause : ''} is answered with ${status}`, async () => {
    await withServer(async (testServer) => {
      testServer.outcome = outcome;
      const answer = await testServer.call();
      assert.is(answer.status, status);
      assert.is(answer.headers['retry-after'], retryAfter);
    });
  });
}

test('without a configuration the answer is 503, since a route may exist; with one, an unknown route gets 404', async () => {
  await withServer(async (testServer) => {
    testServer.isConfigured = false;
    assert.is((await testServer.call()).status, 503);
    testServer.isConfigured = true;
    assert.is((await testServer.call({ path: '/other' })).status, 404);
    assert.is((await testServer.call({ host: 'other.example' })).status, 404);
    assert.is(testServer.delivered.length, 0);
  });
});

test('a body above the limit is refused and the connection closed', async () => {
  await withServer(async (testServer) => {
    const answer = await testServer.call({ body: 'x'.repeat(2_000) });
    assert.is(answer.status, 413);
    assert.is(answer.headers.connection, 'close');
    const chunked = await testServer.call({
      body: 'x'.repeat(2_000),
      headers: { 'transfer-encoding': 'chunked' },
    });
    assert.is(chunked.status, 413);
  });
});

test('a stopping server closes each connection after its response, then refuses requests', async () => {
  await withServer(async (testServer) => {
    testServer.server.stop();
    const answer = await testServer.call();
    assert.is(answer.status, 200);
    assert.is(answer.headers.connection, 'close');
    testServer.server.refuse();
    assert.is((await testServer.call()).status, 503);
    assert.is(testServer.delivered.length, 1);
  });
});

test('a caller that disconnects is reported once', async () => {
  await withServer(async (testServer) => {
    testServer.outcome = undefined;
    const call = testServer.call().catch(() => undefined);
    while (testServer.delivered.length === 0)
      await new Promise((resolve) => setTimeout(resolve, 5));
    testServer.agent.destroy();
    await call;
    while (testServer.goneRequests.length === 0)
      await new Promise((resolve) => setTimeout(resolve, 5));
    assert.equal(testServer.goneRequests, [testServer.delivered[0]?.requestNumber]);
  });
});

test('the keep-alive timeout of idle connections comes from the configuration', async () => {
  await withServer(async (testServer) => {
    const answer = await testServer.call();
    assert.is(answer.headers['keep-alive'], 'timeout=2');
  });
});

test('a body sent a byte at a time gets a 408 at the deadline, and the request is not passed on', async () => {
  await withServer(async (testServer) => {
    const socket = connect({ host: '127.0.0.1', port: testServer.port });
    let answer = '';
    socket.on('data', (chunk: Buffer) => (answer += chunk.toString()));
    socket.on('error', () => undefined);
    socket.write(
      'POST /a/b HTTP/1.1\r\nhost: shop.example\r\nx-deadline: 200\r\ntransfer-encoding: chunked\r\n\r\n',
    );
    const timer = setInterval(() => socket.write('1\r\nx\r\n'), 20);
    const startedAt = performance.now();
    await new Promise((resolve) => socket.once('close', resolve));
    clearInterval(timer);
    assert.ok(answer.startsWith('HTTP/1.1 408 '), answer);
    assert.ok(performance.now() - startedAt < 2_000);
    assert.equal(testServer.delivered, []);
    assert.is(testServer.server.inProgress, 0);
  });
});

/** Answers that can't be written as HTTP. */
const unwritableAnswers: readonly (readonly [
  string,
  number,
  readonly (readonly [string, string])[],
])[] = [
  ['status 0', 0, []],
  ['status 1000', 1_000, []],
  ['a field name with a space', 200, [['x a', '1']]],
  ['a field value with a line break', 200, [['x-a', '1\r\nx-b: 2']]],
];

// Guards against the end of the process, with all requests that it had taken, by one answer.
for (const [name, status, headers] of unwritableAnswers) {
  test(`an answer with ${name} becomes a 502, and the connection carries the next request`, async () => {
    await withServer(async (testServer) => {
      const { outcome } = testServer;
      testServer.outcome = { body: Buffer.from('body'), headers, kind: 'answered', status };
      assert.is((await testServer.call()).status, 502);
      assert.equal(testServer.containedErrors, ['r1']);
      testServer.outcome = outcome;
      assert.is((await testServer.call()).status, 200);
    });
  });
}

test('an error while a request is passed on answers it 502 and ends no other', async () => {
  await withServer(async (testServer) => {
    testServer.requestError = new Error('injected');
    assert.is((await testServer.call()).status, 502);
    assert.equal(testServer.containedErrors, ['r1']);
    testServer.requestError = undefined;
    assert.is((await testServer.call()).status, 200);
  });
});

// Guards against bodies in short chunks, of which each one took some hundred bytes of memory.
test('a body in many short chunks takes the memory that its length shows', async () => {
  await withServer(async (testServer) => {
    const chunks = 400_000;
    testServer.limits = { ...limits, bodyBytes: chunks };
    const socket = connect({ host: '127.0.0.1', port: testServer.port });
    socket.write(
      'POST /upload/b HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\nx-deadline: 10000\r\ntransfer-encoding: chunked\r\n\r\n',
    );
    const before = process.memoryUsage().external + process.memoryUsage().heapUsed;
    socket.write('1\r\nx\r\n'.repeat(chunks));
    const answered = new Promise((resolve) => socket.once('data', resolve));
    let peak = before;
    const sampler = setInterval(() => {
      const { external, heapUsed } = process.memoryUsage();
      peak = Math.max(peak, external + heapUsed);
    }, 2);
    socket.write('0\r\n\r\n');
    await answered;
    clearInterval(sampler);
    socket.destroy();
    assert.is(testServer.delivered[0]?.body?.length, chunks);
    assert.ok(peak - before < 48_000_000, `${peak - before} bytes`);
  });
});

const tenant = {
  allotment: { burst: 0, requestsPerSecond: Infinity },
  apiKeys: ['key-1'],
  name: 'acme',
} as const;
const tenants = new TenantDirectory([tenant], String);

// A key that reaches a server could be used by it, and a tenant named by the caller could be that of another one.
test('a request with a key is passed on with its tenant and without the key', async () => {
  await withServer(async (testServer) => {
    testServer.tenants = tenants;
    const headers = { authorization: 'Bearer key-1', 'x-tenant': 'other' };
    const response = await testServer.call({ headers });
    assert.is(response.status, 200);
    const [request] = testServer.delivered;
    assert.is(request?.tenant, tenant);
    const names = request?.headers.map(([name]) => name) ?? [];
    assert.not(names.includes('authorization'));
    assert.not(names.includes('x-tenant'));
  });
});

test('a request with an unknown key is answered 401 and not passed on', async () => {
  await withServer(async (testServer) => {
    testServer.tenants = tenants;
    const response = await testServer.call({ headers: { authorization: 'Bearer key-2' } });
    assert.is(response.status, 401);
    assert.is(response.headers['www-authenticate'], 'Bearer');
    assert.is((await testServer.call()).status, 401);
    assert.equal(testServer.delivered, []);
  });
});

test('an unknown key gets 503 with a time to return while a newer configuration may hold it', async () => {
  await withServer(async (testServer) => {
    testServer.tenants = tenants;
    testServer.isConfirmed = false;
    const response = await testServer.call({ headers: { authorization: 'Bearer key-2' } });
    assert.is(response.status, 503);
    assert.ok(Number(response.headers['retry-after']) > 0);
  });
});

test('a known key gets 503 with a time to return while its removal would not be known', async () => {
  await withServer(async (testServer) => {
    testServer.tenants = tenants;
    testServer.isKeyProven = false;
    const response = await testServer.call({ headers: { authorization: 'Bearer key-1' } });
    assert.is(response.status, 503);
    assert.ok(Number(response.headers['retry-after']) > 0);
    assert.equal(testServer.delivered, []);
  });
});

test('a public route is served without a key, and a key sent with it goes no further', async () => {
  await withServer(async (testServer) => {
    testServer.tenants = tenants;
    const headers = { authorization: 'Bearer key-2' };
    assert.is((await testServer.call({ headers, path: '/public/1' })).status, 200);
    const [request] = testServer.delivered;
    assert.is(request?.tenant, undefined);
    assert.not(request?.headers.some(([name]) => name === 'authorization'));
  });
});

// Without tenants, callers authenticate to the servers themselves.
test('credentials are passed on if the configuration declares no tenants', async () => {
  await withServer(async (testServer) => {
    await testServer.call({ headers: { authorization: 'Basic abc' } });
    const names = testServer.delivered[0]?.headers.map(([name]) => name) ?? [];
    assert.ok(names.includes('authorization'));
  });
});

// The configuration may change while a body is read; the key must not reach a server because of that.
test('a key is removed according to the configuration that authorized the request', async () => {
  await withServer(async (testServer) => {
    const versions = [tenants, undefined];
    Object.defineProperty(testServer, 'tenants', { get: () => versions.shift() });
    await testServer.call({ body: 'x', headers: { authorization: 'Bearer key-1' } });
    const names = testServer.delivered[0]?.headers.map(([name]) => name) ?? [];
    assert.ok(names.length > 0);
    assert.not(names.includes('authorization'));
  });
});

// Guards against requests that have run and whose callers learn nothing, since others have taken the memory.
test('an answer is passed on although there is no memory for its fields', async () => {
  await withServer(async (testServer) => {
    testServer.outcome = undefined;
    const answer = testServer.call();
    while (testServer.delivered.length === 0)
      await new Promise((resolve) => setTimeout(resolve, 2));
    testServer.protocolMemory
      .open({ place: MemoryPlace.CallerRequest }, 1_000)
      .resize(1_000_000_000);
    const [request] = testServer.delivered;
    assert.ok(request);
    const headers: [string, string][] = [['x-a', '1']];
    testServer.server.respond(request, {
      body: Buffer.from('body'),
      headers,
      kind: 'answered',
      status: 200,
    });
    assert.is((await answer).status, 200);
  });
});

test.run();
