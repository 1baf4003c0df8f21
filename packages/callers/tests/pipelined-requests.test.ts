import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { RouteTable } from '@peridotspring/mesh-core';
import type { EntryOutcome, EntryRequest } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteServer } from '../src/index.js';
import type { ConnectionWait } from '../src/index.js';
import { callerLimits, lookupRoute } from './shared/lookup-route.js';

const limits = callerLimits(300);
const table = new RouteTable({ limits, routes: [lookupRoute], services: new Map(), version: 1 });
/** A condition that does not come true by then fails its test. */
const patienceMilliseconds = 5_000;

interface Answer {
  readonly status: number;
  readonly close: boolean;
  readonly body: string;
}

async function pause(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function until(condition: () => boolean, what: string): Promise<void> {
  const deadline = Date.now() + patienceMilliseconds;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`not in time: ${what}`);
    await pause(2);
  }
}

/** A caller that writes bytes as they are and splits what comes back into answers. */
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

  public get answers(): readonly Answer[] {
    const answers: Answer[] = [];
    let rest = this.text;
    for (;;) {
      const headerEnd = rest.indexOf('\r\n\r\n');
      if (headerEnd < 0) return answers;
      const header = rest.slice(0, headerEnd);
      const length = Number(/content-length: (\d+)/i.exec(header)?.[1] ?? 0);
      if (rest.length < headerEnd + 4 + length) return answers;
      answers.push({
        body: rest.slice(headerEnd + 4, headerEnd + 4 + length).trim(),
        close: /connection: close/i.test(header),
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

  public leave(): void {
    this.socket.destroy();
  }
}

function get(id: string, path = '/a/x'): string {
  return `GET ${path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\n\r\n`;
}

function post(id: string, body: string, stated = body.length): string {
  return `POST /a/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\ncontent-length: ${stated}\r\n\r\n${body}`;
}

class Bench {
  public readonly delivered: EntryRequest[] = [];
  public readonly gone: number[] = [];
  public readonly waits: ConnectionWait[] = [];
  public notPassedOn = 0;
  public now = 1_000;
  public port = 0;
  private readonly callers: RawCaller[] = [];
  public readonly server = new RouteServer({
    answeredLocally: () => undefined,
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => this.now,
    deliver: (request) => this.delivered.push(request),
    gone: (requestNumber) => this.gone.push(requestNumber),
    names: { deadline: 'x-deadline', requestId: 'x-request-id', reserved: new Set() },
    notPassedOn: (count) => {
      this.notPassedOn += count;
    },
    routing: () => ({ limits, table }),
    waitedBehind: (wait) => this.waits.push(wait),
  });

  public connect(): RawCaller {
    const caller = new RawCaller(this.port);
    this.callers.push(caller);
    return caller;
  }

  public ids(): readonly string[] {
    return this.delivered.map(({ requestId }) => requestId);
  }

  /** Answers a delivered request with its own identifier. */
  public answer(id: string, outcome: EntryOutcome = answerOf(id)): void {
    const request = this.delivered.find(({ requestId }) => requestId === id);
    if (request === undefined) throw new Error(`${id} was not passed on`);
    this.server.respond(request, outcome);
  }

  public async close(): Promise<void> {
    for (const caller of this.callers) caller.leave();
    await this.server.close();
  }
}

function answerOf(text: string): EntryOutcome {
  return { body: Buffer.from(text), headers: [], kind: 'answered', status: 200 };
}

async function withServer(run: (bench: Bench, caller: RawCaller) => Promise<void>): Promise<void> {
  const bench = new Bench();
  bench.port = await bench.server.listen();
  bench.server.configure(limits);
  try {
    await run(bench, bench.connect());
  } finally {
    await bench.close();
  }
}

function bodies(caller: RawCaller): readonly string[] {
  return caller.answers.map(({ body }) => body);
}

const refused: EntryOutcome = {
  cause: 'overloaded',
  kind: 'refused',
  retryAfterMilliseconds: 100,
};
const timedOut: EntryOutcome = { cause: 'timeout', kind: 'unknown' };

/** The order in which three requests end, how the second ends, and what its caller sees of it. */
const middles: readonly (readonly [string, readonly string[], EntryOutcome, string])[] = [
  ['the last ends first', ['r3', 'r2', 'r1'], answerOf('r2'), 'r2'],
  ['the second is slow', ['r1', 'r3', 'r2'], answerOf('r2'), 'r2'],
  ['the second is refused at once', ['r2', 'r1', 'r3'], refused, 'overloaded'],
  ['the second times out', ['r1', 'r3', 'r2'], timedOut, 'timeout'],
  ['the second has an unknown outcome', ['r3', 'r2', 'r1'], timedOut, 'timeout'],
];

for (const [name, order, middle, expected] of middles) {
  test(`answers keep the order of the requests: ${name}`, async () => {
    await withServer(async (bench, caller) => {
      caller.write(get('r1'), get('r2'), get('r3'));
      await until(() => bench.delivered.length === 3, 'three requests passed on');
      for (const id of order) bench.answer(id, id === 'r2' ? middle : answerOf(id));
      await until(() => caller.answers.length === 3, 'three answers');
      assert.equal(bodies(caller), ['r1', expected, 'r3']);
      assert.not(caller.answers.some(({ close }) => close));
    });
  });
}

test('a request with a body stands between two without', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), post('r2', 'some bytes'), get('r3'));
    await until(() => bench.delivered.length === 3, 'three requests passed on');
    const bodyOf = (id: string): string => {
      const request = bench.delivered.find(({ requestId }) => requestId === id);
      return Buffer.from(request?.body ?? []).toString();
    };
    assert.equal([bodyOf('r1'), bodyOf('r2'), bodyOf('r3')], ['', 'some bytes', '']);
    for (const id of ['r3', 'r2', 'r1']) bench.answer(id);
    await until(() => caller.answers.length === 3, 'three answers');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
  });
});

test('a body above the limit is refused in its turn, and the next request is served', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), post('r2', 'x'.repeat(2_000)), get('r3'));
    await until(() => bench.delivered.length === 2, 'the first and the last passed on');
    assert.is(caller.text, '');
    bench.answer('r3');
    bench.answer('r1');
    await until(() => caller.answers.length === 3, 'three answers');
    assert.equal(
      caller.answers.map(({ close, status }) => [status, close]),
      [
        [200, false],
        [413, false],
        [200, false],
      ],
    );
  });
});

test('a body above the limit that has not come whole ends the connection after its answer', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), post('r2', 'x'.repeat(500), 2_000));
    await until(() => bench.delivered.length === 1, 'the first passed on');
    bench.answer('r1');
    await until(() => caller.hasEnded, 'the end of the connection');
    assert.equal(
      caller.answers.map(({ close, status }) => [status, close]),
      [
        [200, false],
        [413, true],
      ],
    );
  });
});

test('a chunked body that breaks the protocol is refused in its turn', async () => {
  await withServer(async (bench, caller) => {
    const header = 'POST /a/x HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n';
    caller.write(get('r1'), `${header}3\r\nabc\r\n`, 'no length\r\n');
    await until(() => bench.delivered.length === 1, 'the first passed on');
    await pause(20);
    bench.answer('r1');
    await until(() => caller.hasEnded, 'the end of the connection');
    assert.equal(
      caller.answers.map(({ close, status }) => [status, close]),
      [
        [200, false],
        [400, true],
      ],
    );
    assert.equal(bench.ids(), ['r1']);
  });
});

test('a caller that leaves takes each of its requests with it', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await until(() => bench.delivered.length === 3, 'three requests passed on');
    bench.answer('r2');
    caller.leave();
    await until(() => bench.gone.length === 2, 'two requests withdrawn');
    await pause(20);
    const numbers = bench.delivered.map(({ requestNumber }) => requestNumber);
    assert.equal([...bench.gone].sort(), [numbers[0], numbers[2]]);
    assert.is(bench.server.inProgress, 0);
  });
});

test('a planned stop answers what was passed on; the last answer announces the close', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await until(() => bench.delivered.length === 3, 'three requests passed on');
    bench.server.stop();
    caller.write(get('r4'));
    await until(() => bench.notPassedOn === 1, 'the fourth left out');
    for (const id of ['r2', 'r1', 'r3']) bench.answer(id);
    await until(() => caller.hasEnded, 'the end of the connection');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
    assert.equal(
      caller.answers.map(({ close }) => close),
      [false, false, true],
    );
    assert.equal(bench.ids(), ['r1', 'r2', 'r3']);
    assert.is(caller.hasFailed, false);
    assert.is(bench.server.inProgress, 0);
  });
});

test('a stop while an answer is written still answers the next request with a close', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'));
    await until(() => bench.delivered.length === 1, 'the first passed on');
    bench.answer('r1');
    bench.server.stop();
    caller.write(get('r2'));
    await until(() => bench.delivered.length === 2, 'the second passed on');
    bench.answer('r2');
    await until(() => caller.hasEnded, 'the end of the connection');
    assert.equal(
      caller.answers.map(({ close }) => close),
      [false, true],
    );
  });
});

test('bytes that come behind the close do not reset the connection', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'));
    await until(() => bench.delivered.length === 1, 'the first passed on');
    bench.server.stop();
    caller.pauseReading();
    bench.answer('r1', answerOf('y'.repeat(1_000_000)));
    for (let sent = 0; sent < 20; sent += 1) {
      caller.write(get('late'));
      await pause(5);
    }
    caller.resumeReading();
    await until(() => caller.hasEnded || caller.hasFailed, 'the end of the connection');
    assert.is(caller.hasFailed, false);
    assert.is(caller.answers[0]?.body.length, 1_000_000);
    assert.equal(bench.ids(), ['r1']);
  });
});

test('the idle timeout does not end a connection with requests in progress', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), get('r2'), get('r3'));
    await until(() => bench.delivered.length === 3, 'three requests passed on');
    bench.answer('r1');
    await pause(limits.idleTimeoutMilliseconds * 2);
    bench.answer('r2');
    bench.answer('r3');
    await until(() => caller.answers.length === 3, 'three answers');
    assert.equal(bodies(caller), ['r1', 'r2', 'r3']);
    assert.equal(bench.gone, []);
  });
});

test('few of many requests on one connection are in progress at once, and all get their answer', async () => {
  await withServer(async (bench, caller) => {
    const count = 5_000;
    const ids = Array.from({ length: count }, (_, index) => `r${index}`);
    caller.write(...ids.map((id) => get(id)));
    let answered = 0;
    let most = 0;
    while (answered < count) {
      await until(() => bench.delivered.length > answered, 'more requests passed on');
      const due = bench.delivered.slice(answered);
      most = Math.max(most, due.length);
      answered += due.length;
      for (const request of due.reverse()) {
        bench.server.respond(request, answerOf(request.requestId));
      }
    }
    await until(() => caller.answers.length === count, 'all answers');
    assert.equal(bodies(caller), ids);
    assert.ok(most <= 8, `${most} in progress at once`);
  });
});

test('a caller that does not read its answers holds back its next requests', async () => {
  await withServer(async (bench, caller) => {
    caller.pauseReading();
    caller.write(...Array.from({ length: 60 }, (_, index) => get(`r${index}`)));
    const large = answerOf('z'.repeat(2_000_000));
    let answered = 0;
    for (let round = 0; round < 40; round += 1) {
      const due = bench.delivered.slice(answered);
      answered += due.length;
      for (const request of due) bench.server.respond(request, large);
      await pause(2);
    }
    assert.ok(bench.delivered.length <= 20, `${bench.delivered.length} were passed on`);
    caller.resumeReading();
    await until(() => bench.delivered.length > 20 || answered < bench.delivered.length, 'more');
  });
});

test('the time behind other requests is told, and deadlines count from when a request was read', async () => {
  await withServer(async (bench, caller) => {
    caller.write(...Array.from({ length: 9 }, (_, index) => get(`r${index + 1}`)));
    await until(() => bench.delivered.length === 8, 'eight requests passed on');
    bench.now += 50;
    bench.answer('r2');
    bench.now += 30;
    bench.answer('r1');
    await until(() => bench.delivered.length === 9, 'the ninth passed on');
    assert.is(bench.delivered[8]?.receivedAt, 1_000);
    assert.is(bench.delivered[8]?.callerDeadline, 1_700);
    for (let index = 3; index <= 9; index += 1) bench.answer(`r${index}`);
    await until(() => caller.answers.length === 9, 'nine answers');
    assert.equal(bench.waits, [
      { beforeStartMilliseconds: 0, requestId: 'r2', withAnswerMilliseconds: 30 },
      { beforeStartMilliseconds: 80, requestId: 'r9', withAnswerMilliseconds: 0 },
    ]);
  });
});

/** Bytes behind a good request, and the status that they get. */
const unreadable: readonly (readonly [string, string, number])[] = [
  ['bytes that are no request', 'NO SUCH THING\r\n\r\n', 400],
  [
    'a header above the limit of the parser',
    `${get('r2').trimEnd()}\r\nx: ${'h'.repeat(70_000)}`,
    431,
  ],
];

for (const [name, bytes, status] of unreadable) {
  test(`${name} behind a good request: the good one gets its answer`, async () => {
    await withServer(async (bench, caller) => {
      caller.write(get('r1'), bytes);
      await until(() => bench.delivered.length === 1, 'the first passed on');
      await pause(50);
      assert.is(caller.hasEnded || caller.hasFailed, false);
      bench.answer('r1');
      await until(() => caller.hasEnded, 'the end of the connection');
      assert.equal(
        caller.answers.map((answer) => [answer.status, answer.close]),
        [
          [200, false],
          [status, true],
        ],
      );
      assert.equal(bench.ids(), ['r1']);
    });
  });
}

test('bytes that are no request get a 400 on a new connection', async () => {
  await withServer(async (_bench, caller) => {
    caller.write('NO SUCH THING\r\n\r\n');
    await until(() => caller.hasEnded, 'the end of the connection');
    assert.equal(caller.answers, [{ body: '', close: true, status: 400 }]);
  });
});

test('the other requests of a connection go on when one ends in a body that was cut', async () => {
  await withServer(async (bench, caller) => {
    caller.write(get('r1'), get('r2'), post('r3', 'short', 500));
    await until(() => bench.delivered.length === 2, 'two requests passed on');
    bench.answer('r1');
    bench.answer('r2');
    await until(() => caller.answers.length === 2, 'two answers');
    assert.equal(bodies(caller), ['r1', 'r2']);
    caller.leave();
    await until(() => bench.server.inProgress === 0, 'nothing in progress');
    assert.equal(bench.ids(), ['r1', 'r2']);
  });
});

test.run();
