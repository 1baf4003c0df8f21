import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { DeferredInput } from '@peridotspring/http-server';
import { RouteTable } from '@peridotspring/mesh-core';
import type { EntryOutcome, EntryRequest } from '@peridotspring/mesh-core';
import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteServer } from '../src/index.js';
import type { PipelineWait } from '../src/index.js';
import { callerLimits, lookupRoute } from './shared/lookup-route.js';

const limits = callerLimits(300);
const table = new RouteTable({ limits, routes: [lookupRoute], services: new Map(), version: 1 });
/** A test fails if a condition that it waits for does not hold within this time. */
const waitTimeoutMilliseconds = 5_000;

interface ParsedResponse {
  readonly status: number;
  readonly announcesClose: boolean;
  readonly body: string;
}

async function pause(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const deadline = Date.now() + waitTimeoutMilliseconds;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`condition did not hold in time: ${description}`);
    await pause(2);
  }
}

/** A caller that writes raw bytes and parses the responses that it receives. */
class RawCaller {
  public text = '';
  public hasEnded = false;
  public hasFailed = false;
  private readonly socket: Socket;

  public constructor(port: number) {
    this.socket = connect({ host: '127.0.0.1', port });
    this.socket.setEncoding('latin1');
    this.socket.on('data', (chunk: string) => (this.text += chunk));
    this.socket.on('end', () => (this.hasEnded = true));
    this.socket.on('error', () => (this.hasFailed = true));
  }

  public get responses(): readonly ParsedResponse[] {
    const responses: ParsedResponse[] = [];
    let rest = this.text;
    for (;;) {
      const headerEnd = rest.indexOf('\r\n\r\n');
      if (headerEnd < 0) return responses;
      const header = rest.slice(0, headerEnd);
      const length = Number(/content-length: (\d+)/i.exec(header)?.[1] ?? 0);
      if (rest.length < headerEnd + 4 + length) return responses;
      responses.push({
        body: rest.slice(headerEnd + 4, headerEnd + 4 + length).trim(),
        announcesClose: /connection: close/i.test(header),
        status: Number(header.slice(9, 12)),
      });
      rest = rest.slice(headerEnd + 4 + length);
    }
  }

  public write(...requests: readonly string[]): void {
    this.socket.write(requests.join(''));
  }

  public pauseReading(): void {
    this.socket.pause();
  }

  public resumeReading(): void {
    this.socket.resume();
  }

  public disconnect(): void {
    this.socket.destroy();
  }
}

function get(id: string, path = '/a/x'): string {
  return `GET ${path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\n\r\n`;
}

function post(id: string, body: string, contentLength = body.length): string {
  return `POST /a/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\ncontent-length: ${contentLength}\r\n\r\n${body}`;
}

class TestRouteServer {
  public readonly delivered: EntryRequest[] = [];
  public readonly goneRequests: number[] = [];
  public readonly pipelineWaits: PipelineWait[] = [];
  public discardedCount = 0;
  public now = 1_000;
  public port = 0;
  private readonly callers: RawCaller[] = [];
  public readonly server = new RouteServer({
    onAnsweredLocally: () => undefined,
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => this.now,
    maximumConnections: 1_000,
    deferredInput: new DeferredInput(),
    memory: createMemoryAccount(),
    protocolMemory: createMemoryAccount(),
    onClientFault: () => undefined,
    onRequest: (request) => this.delivered.push(request),
    onCallerGone: (requestNumber) => this.goneRequests.push(requestNumber),
    headerNames: {
      authorization: 'authorization',
      deadline: 'x-deadline',
      requestId: 'x-request-id',
      reserved: new Set(),
    },
    onErrorContained: () => undefined,
    onRequestsDiscarded: (count) => {
      this.discardedCount += count;
    },
    routing: () => ({ isConfirmed: true, isKeyProven: true, limits, table, tenants: undefined }),
    onPipelineWait: (wait) => this.pipelineWaits.push(wait),
  });

  public connect(): RawCaller {
    const caller = new RawCaller(this.port);
    this.callers.push(caller);
    return caller;
  }

  public deliveredIds(): readonly string[] {
    return this.delivered.map(({ requestId }) => requestId);
  }

  /** Answers a delivered request, by default with its identifier as the body. */
  public answer(id: string, outcome: EntryOutcome = answerOf(id)): void {
    const request = this.delivered.find(({ requestId }) => requestId === id);
    if (request === undefined) throw new Error(`${id} was not passed on`);
    this.server.respond(request, outcome);
  }

  public async close(): Promise<void> {
    for (const caller of this.callers) caller.disconnect();
    await this.server.close();
  }
}

function answerOf(text: string): EntryOutcome {
  return { body: Buffer.from(text), headers: [], kind: 'answered', status: 200 };
}

async function withServer(
  run: (testServer: TestRouteServer, caller: RawCaller) => Promise<void>,
): Promise<void> {
  const testServer = new TestRouteServer();
  testServer.port = await testServer.server.listen();
  testServer.server.configure(limits);
  try {
    await run(testServer, testServer.connect());
  } finally {
    await testServer.close();
  }
}

function bodies(caller: RawCaller): readonly string[] {
  return caller.responses.map(({ body }) => body);
}

const refused: EntryOutcome = {
  cause: 'overloaded',
  kind: 'refused',
  retryAfterMilliseconds: 100,
};
const timedOut: EntryOutcome = { cause: 'timeout', kind: 'unknown' };

/** The order in which three requests are answered, the outcome of the second, and the body of its response. */
const outcomeOrders: readonly (readonly [string, readonly string[], EntryOutcome, string])[] = [
  ['the last is answered first', ['r3', 'r2', 'r1'], answerOf('r2'), 'r2'],
  ['the second is slow', ['r1', 'r3', 'r2'], answerOf('r2'), 'r2'],
  ['the second is refused at once', ['r2', 'r1', 'r3'], refused, 'overloaded'],
  ['the second times out', ['r1', 'r3', 'r2'], timedOut, 'timeout'],
  ['the second has an unknown outcome', ['r3', 'r2', 'r1'], timedOut, 'timeout'],
];

for (const [name, order, secondOutcome, expectedBody] of outcomeOrders) {
  test(`responses are written in the order of the requests: ${name}`, async () => {
    await withServer(async (testServer, caller) => {
      caller.write(get('r1'), get('r2'), get('r3'));
      await waitUntil(() => testServer.delivered.length === 3, 'three requests passed on');
      for (const id of order) testServer.answer(id, id === 'r2' ? secondOutcome : answerOf(id));
      await waitUntil(() => caller.responses.length === 3, 'three responses');
      assert.equal(bodies(caller), ['r1', expectedBody, 'r3']);
      assert.not(caller.responses.some(({ announcesClose }) => announcesClose));
    });
  });
}

test('requests that were sent before the answer to the one in front of them are marked', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(...Array.from({ length: 12 }, (_, index) => get(`r${index}`)));
    for (let index = 0; index < 12; index += 1) {
      await waitUntil(() => testServer.delivered.length > index, 'the next one passed on');
      testServer.answer(`r${index}`);
    }
    await waitUntil(() => caller.responses.length === 12, 'all responses');
    caller.write(get('alone'));
    await waitUntil(() => testServer.delivered.length === 13, 'the last one passed on');
    const isPipelined = testServer.delivered.map((request) => request.isPipelined);
    assert.equal(isPipelined, [false, ...Array.from({ length: 11 }, () => true), false]);
  });
});

test('a request with a body can be pipelined between two without', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), post('r2', 'some bytes'), get('r3'));
    await waitUntil(() => testServer.delivered.length === 3, 'three requests passed on');
    const bodyOf = (id: string): string => {
      const request = testServer.delivered.find(({ requestId }) => requestId === id);
      return Buffer.from(request?.body ?? []).toString();
    };
    assert.equal([bodyOf('r1'), bodyOf('r2'), bodyOf('r3')], ['', 'some bytes', '']);
    for (const id of ['r3', 'r2', 'r1']) testServer.answer(id);
    await waitUntil(() => caller.responses.length === 3, 'three responses');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
  });
});

test('a body above the limit gets a 413 in its place in the order, and the next request is served', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), post('r2', 'x'.repeat(2_000)), get('r3'));
    await waitUntil(() => testServer.delivered.length === 2, 'the first and the last passed on');
    assert.is(caller.text, '');
    testServer.answer('r3');
    testServer.answer('r1');
    await waitUntil(() => caller.responses.length === 3, 'three responses');
    assert.equal(
      caller.responses.map(({ announcesClose, status }) => [status, announcesClose]),
      [
        [200, false],
        [413, false],
        [200, false],
      ],
    );
  });
});

test('a body above the limit that was not received completely closes the connection after its response', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), post('r2', 'x'.repeat(500), 2_000));
    await waitUntil(() => testServer.delivered.length === 1, 'the first passed on');
    testServer.answer('r1');
    await waitUntil(() => caller.hasEnded, 'the connection to close');
    assert.equal(
      caller.responses.map(({ announcesClose, status }) => [status, announcesClose]),
      [
        [200, false],
        [413, true],
      ],
    );
  });
});

test('a malformed chunked body gets a 400 in its place in the order', async () => {
  await withServer(async (testServer, caller) => {
    const header = 'POST /a/x HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n';
    caller.write(get('r1'), `${header}3\r\nabc\r\n`, 'no length\r\n');
    await waitUntil(() => testServer.delivered.length === 1, 'the first passed on');
    await pause(20);
    testServer.answer('r1');
    await waitUntil(() => caller.hasEnded, 'the connection to close');
    assert.equal(
      caller.responses.map(({ announcesClose, status }) => [status, announcesClose]),
      [
        [200, false],
        [400, true],
      ],
    );
    assert.equal(testServer.deliveredIds(), ['r1']);
  });
});

test('when a caller disconnects, each of its unanswered requests is reported', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await waitUntil(() => testServer.delivered.length === 3, 'three requests passed on');
    testServer.answer('r2');
    caller.disconnect();
    await waitUntil(() => testServer.goneRequests.length === 2, 'two requests reported as gone');
    await pause(20);
    const numbers = testServer.delivered.map(({ requestNumber }) => requestNumber);
    assert.equal([...testServer.goneRequests].sort(), [numbers[0], numbers[2]]);
    assert.is(testServer.server.inProgress, 0);
  });
});

test('a graceful stop answers the requests passed on, and the last response announces the close', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await waitUntil(() => testServer.delivered.length === 3, 'three requests passed on');
    testServer.server.stop();
    caller.write(get('r4'));
    await waitUntil(() => testServer.discardedCount === 1, 'the fourth to be discarded');
    for (const id of ['r2', 'r1', 'r3']) testServer.answer(id);
    await waitUntil(() => caller.hasEnded, 'the connection to close');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
    assert.equal(
      caller.responses.map(({ announcesClose }) => announcesClose),
      [false, false, true],
    );
    assert.equal(testServer.deliveredIds(), ['r1', 'r2', 'r3']);
    assert.is(caller.hasFailed, false);
    assert.is(testServer.server.inProgress, 0);
  });
});

test('a stop while a response is being written still answers the next request and announces the close', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'));
    await waitUntil(() => testServer.delivered.length === 1, 'the first passed on');
    testServer.answer('r1');
    testServer.server.stop();
    caller.write(get('r2'));
    await waitUntil(() => testServer.delivered.length === 2, 'the second passed on');
    testServer.answer('r2');
    await waitUntil(() => caller.hasEnded, 'the connection to close');
    assert.equal(
      caller.responses.map(({ announcesClose }) => announcesClose),
      [false, true],
    );
  });
});

test('bytes received after the announced close do not reset the connection', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'));
    await waitUntil(() => testServer.delivered.length === 1, 'the first passed on');
    testServer.server.stop();
    caller.pauseReading();
    testServer.answer('r1', answerOf('y'.repeat(1_000_000)));
    for (let sent = 0; sent < 20; sent += 1) {
      caller.write(get('late'));
      await pause(5);
    }
    caller.resumeReading();
    await waitUntil(() => caller.hasEnded || caller.hasFailed, 'the connection to close');
    assert.is(caller.hasFailed, false);
    assert.is(caller.responses[0]?.body.length, 1_000_000);
    assert.equal(testServer.deliveredIds(), ['r1']);
  });
});

test('the idle timeout does not close a connection with requests in progress', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await waitUntil(() => testServer.delivered.length === 3, 'three requests passed on');
    testServer.answer('r1');
    await pause(limits.idleTimeoutMilliseconds * 2);
    testServer.answer('r2');
    testServer.answer('r3');
    await waitUntil(() => caller.responses.length === 3, 'three responses');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
    assert.equal(testServer.goneRequests, []);
  });
});

test('only a few of many requests on one connection are in progress at once, and all get a response', async () => {
  await withServer(async (testServer, caller) => {
    const count = 5_000;
    const ids = Array.from({ length: count }, (_, index) => `r${index}`);
    caller.write(...ids.map((id) => get(id)));
    let answered = 0;
    let maximumInProgress = 0;
    while (answered < count) {
      await waitUntil(() => testServer.delivered.length > answered, 'more requests passed on');
      const unanswered = testServer.delivered.slice(answered);
      maximumInProgress = Math.max(maximumInProgress, unanswered.length);
      answered += unanswered.length;
      for (const request of unanswered.reverse()) {
        testServer.server.respond(request, answerOf(request.requestId));
      }
    }
    await waitUntil(() => caller.responses.length === count, 'all responses');
    assert.equal(bodies(caller), ids);
    assert.ok(maximumInProgress <= 8, `${maximumInProgress} in progress at once`);
  });
});

test('while a caller does not read its responses, its further requests are not started', async () => {
  await withServer(async (testServer, caller) => {
    caller.pauseReading();
    caller.write(...Array.from({ length: 60 }, (_, index) => get(`r${index}`)));
    const large = answerOf('z'.repeat(2_000_000));
    let answered = 0;
    for (let round = 0; round < 40; round += 1) {
      const unanswered = testServer.delivered.slice(answered);
      answered += unanswered.length;
      for (const request of unanswered) testServer.server.respond(request, large);
      await pause(2);
    }
    assert.ok(
      testServer.delivered.length <= 20,
      `${testServer.delivered.length} requests were passed on`,
    );
    caller.resumeReading();
    await waitUntil(
      () => testServer.delivered.length > 20 || answered < testServer.delivered.length,
      'more requests passed on',
    );
  });
});

test('the wait for earlier requests is reported, and deadlines count from when a request was read', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(...Array.from({ length: 9 }, (_, index) => get(`r${index + 1}`)));
    await waitUntil(() => testServer.delivered.length === 8, 'eight requests passed on');
    testServer.now += 50;
    testServer.answer('r2');
    testServer.now += 30;
    testServer.answer('r1');
    await waitUntil(() => testServer.delivered.length === 9, 'the ninth passed on');
    assert.is(testServer.delivered[8]?.receivedAt, 1_000);
    assert.is(testServer.delivered[8]?.callerDeadline, 1_700);
    for (let index = 3; index <= 9; index += 1) testServer.answer(`r${index}`);
    await waitUntil(() => caller.responses.length === 9, 'nine responses');
    assert.equal(testServer.pipelineWaits, [
      { beforeStartMilliseconds: 0, requestId: 'r2', withAnswerMilliseconds: 30 },
      { beforeStartMilliseconds: 80, requestId: 'r9', withAnswerMilliseconds: 0 },
    ]);
  });
});

/** Bytes sent after a valid request, and the status that they get. */
const unparsableInputs: readonly (readonly [string, string, number])[] = [
  ['bytes that are not a request', 'NO SUCH THING\r\n\r\n', 400],
  ['a header above the parser limit', `${get('r2').trimEnd()}\r\nx: ${'h'.repeat(70_000)}`, 431],
];

for (const [name, bytes, status] of unparsableInputs) {
  test(`${name} after a valid request: the valid one is answered first`, async () => {
    await withServer(async (testServer, caller) => {
      caller.write(get('r1'), bytes);
      await waitUntil(() => testServer.delivered.length === 1, 'the first passed on');
      await pause(50);
      assert.is(caller.hasEnded || caller.hasFailed, false);
      testServer.answer('r1');
      await waitUntil(() => caller.hasEnded, 'the connection to close');
      assert.equal(
        caller.responses.map((response) => [response.status, response.announcesClose]),
        [
          [200, false],
          [status, true],
        ],
      );
      assert.equal(testServer.deliveredIds(), ['r1']);
    });
  });
}

test('bytes that are not a request get a 400 on a new connection', async () => {
  await withServer(async (_testServer, caller) => {
    caller.write('NO SUCH THING\r\n\r\n');
    await waitUntil(() => caller.hasEnded, 'the connection to close');
    assert.equal(caller.responses, [{ body: '', announcesClose: true, status: 400 }]);
  });
});

test('a truncated body does not affect the other requests of its connection', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1'), get('r2'), post('r3', 'short', 500));
    await waitUntil(() => testServer.delivered.length === 2, 'two requests passed on');
    testServer.answer('r1');
    testServer.answer('r2');
    await waitUntil(() => caller.responses.length === 2, 'two responses');
    assert.equal(bodies(caller), ['r1', 'r2']);
    caller.disconnect();
    await waitUntil(() => testServer.server.inProgress === 0, 'nothing in progress');
    assert.equal(testServer.deliveredIds(), ['r1', 'r2']);
  });
});

// Regression: a request without a body counted as unread in the turn that read its head, so that each answer of the node
// itself closed the connection, with the requests behind it.
test('requests without a route are answered on one connection, also between others', async () => {
  await withServer(async (testServer, caller) => {
    caller.write(get('r1', '/none'), get('r2'), get('r3', '/none'), get('r4'));
    await waitUntil(() => testServer.delivered.length === 2, 'two requests passed on');
    for (const id of ['r2', 'r4']) testServer.answer(id);
    await waitUntil(() => caller.responses.length === 4, 'four responses');
    assert.equal(
      caller.responses.map(({ status }) => status),
      [404, 200, 404, 200],
    );
    assert.not(caller.responses.some(({ announcesClose }) => announcesClose));
  });
});

test.run();
