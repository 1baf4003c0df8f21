import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';

import { RouteTable } from '@peridotspring/mesh-core';
import type { EntryOutcome, EntryRequest } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteServer } from '../src/index.js';
import { callerLimits, lookupRoute } from './shared/lookup-route.js';

const limits = callerLimits(2_000);
const table = new RouteTable({ limits, routes: [lookupRoute], services: new Map(), version: 1 });

interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

interface Call {
  readonly path?: string;
  readonly host?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly method?: string;
}

class Bench {
  public readonly delivered: EntryRequest[] = [];
  public readonly gone: number[] = [];
  public readonly agent = new Agent({ keepAlive: true });
  public isConfigured = true;
  public outcome: EntryOutcome | undefined = {
    body: Buffer.from('body'),
    headers: [['x-a', '1']],
    kind: 'answered',
    status: 200,
  };
  public port = 0;
  public readonly server = new RouteServer({
    answeredLocally: () => undefined,
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => 1_000,
    deliver: (request) => {
      this.delivered.push(request);
      if (this.outcome !== undefined) this.server.respond(request, this.outcome);
    },
    gone: (requestNumber) => this.gone.push(requestNumber),
    names: {
      deadline: 'x-deadline',
      requestId: 'x-request-id',
      reserved: new Set(['x-caller', 'x-deadline', 'x-request-id']),
    },
    notPassedOn: () => undefined,
    routing: () => (this.isConfigured ? { limits, table } : undefined),
    waitedBehind: () => undefined,
  });

  public async call({ body, headers, host, method, path }: Call = {}): Promise<Answer> {
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

async function withServer(run: (bench: Bench) => Promise<void>): Promise<void> {
  const bench = new Bench();
  bench.port = await bench.server.listen();
  bench.server.configure(limits);
  try {
    await run(bench);
  } finally {
    bench.agent.destroy();
    await bench.server.close();
  }
}

test('a request is delivered as it came, without what callers may not set', async () => {
  await withServer(async (bench) => {
    const headers = { 'x-b': '2', 'x-caller': 'forged', 'x-deadline': '300' };
    const answer = await bench.call({ body: 'data', headers });
    const [request] = bench.delivered;
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

test('a caller that states no deadline has the timeout of its route', async () => {
  await withServer(async (bench) => {
    await bench.call();
    assert.is(bench.delivered[0]?.callerDeadline, 1_700);
  });
});

/** How a request ended, and what the caller sees. */
const outcomes: readonly (readonly [EntryOutcome, number, string | undefined])[] = [
  [{ cause: 'overloaded', kind: 'refused', retryAfterMilliseconds: 250 }, 503, '0.250'],
  [{ cause: 'no-server', kind: 'refused', retryAfterMilliseconds: 1_000 }, 503, '1.000'],
  [{ cause: 'timeout', kind: 'unknown' }, 504, undefined],
  [{ cause: 'attempt-failed', kind: 'unknown' }, 502, undefined],
];

for (const [outcome, status, retryAfter] of outcomes) {
  test(`${outcome.kind} ${'cause' in outcome ? outcome.cause : ''} is ${status}`, async () => {
    await withServer(async (bench) => {
      bench.outcome = outcome;
      const answer = await bench.call();
      assert.is(answer.status, status);
      assert.is(answer.headers['retry-after'], retryAfter);
    });
  });
}

test('without a configuration nobody can say that there is no route', async () => {
  await withServer(async (bench) => {
    bench.isConfigured = false;
    assert.is((await bench.call()).status, 503);
    bench.isConfigured = true;
    assert.is((await bench.call({ path: '/other' })).status, 404);
    assert.is((await bench.call({ host: 'other.example' })).status, 404);
    assert.is(bench.delivered.length, 0);
  });
});

test('a body above the limit is refused and its connection closed', async () => {
  await withServer(async (bench) => {
    const answer = await bench.call({ body: 'x'.repeat(2_000) });
    assert.is(answer.status, 413);
    assert.is(answer.headers.connection, 'close');
    const chunked = await bench.call({
      body: 'x'.repeat(2_000),
      headers: { 'transfer-encoding': 'chunked' },
    });
    assert.is(chunked.status, 413);
  });
});

test('a stopping server ends each connection with its answer, then refuses', async () => {
  await withServer(async (bench) => {
    bench.server.stop();
    const answer = await bench.call();
    assert.is(answer.status, 200);
    assert.is(answer.headers.connection, 'close');
    bench.server.refuse();
    assert.is((await bench.call()).status, 503);
    assert.is(bench.delivered.length, 1);
  });
});

test('a caller that goes away is reported once', async () => {
  await withServer(async (bench) => {
    bench.outcome = undefined;
    const call = bench.call().catch(() => undefined);
    while (bench.delivered.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    bench.agent.destroy();
    await call;
    while (bench.gone.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    assert.equal(bench.gone, [bench.delivered[0]?.requestNumber]);
  });
});

test('idle connections are kept for as long as the configuration says', async () => {
  await withServer(async (bench) => {
    const answer = await bench.call();
    assert.is(answer.headers['keep-alive'], 'timeout=2');
  });
});

test('a body that comes a byte at a time is read for as long as its caller waits, and nothing is passed on', async () => {
  await withServer(async (bench) => {
    const socket = connect({ host: '127.0.0.1', port: bench.port });
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
    assert.equal(bench.delivered, []);
    assert.is(bench.server.inProgress, 0);
  });
});

test.run();
