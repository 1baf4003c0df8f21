import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import type { UpstreamFaults } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withRawServer, withStandIn } from './client-setup.js';

type Told = 'answered 200' | 'answered 500' | 'cut stream' | 'failed' | 'not-reached';

const cutBody = { cutBody: true };
const faultCases: readonly (readonly [string, Partial<UpstreamFaults>, string, Told, number])[] = [
  ['slow', { slowFactor: 2 }, '/', 'answered 200', 1],
  ['failing fast', { failFast: true }, '/', 'answered 500', 0],
  ['refusing connections', { refuseConnections: true }, '/', 'not-reached', 0],
  ['closing without an answer', { closeWithoutAnswer: true }, '/', 'failed', 1],
  ['cutting a short answer', cutBody, '/', 'failed', 1],
  ['cutting a short chunked answer', cutBody, '/?chunked=1', 'failed', 1],
  ['cutting a long answer', cutBody, '/?bytes=500000', 'cut stream', 1],
  ['cutting a long chunked answer', cutBody, '/?chunked=1&bytes=500000', 'cut stream', 1],
  ['cutting a collected answer', cutBody, '/?bytes=500001', 'failed', 1],
];

for (const [name, faults, path, expected, executions] of faultCases) {
  const collectAnswer = name.includes('collected');
  test(`an upstream that is ${name} is told as ${expected}, so that nothing false is concluded from it`, async () => {
    await withStandIn(faults, async (bench, standIn) => {
      const execution = bench.run(path, { collectAnswer });
      const result = await bench.result(execution);
      if (expected === 'cut stream') {
        assert.ok(result.kind === 'answered' && result.streamedBody);
        const stream = bench.client.answerBody(execution) ?? Readable.from([]);
        const [read] = await Promise.allSettled([buffer(stream)]);
        assert.is(read.status, 'rejected');
      } else {
        const told = result.kind === 'answered' ? `answered ${result.status}` : result.kind;
        assert.is(told, expected);
      }
      assert.is(await bench.finished(execution), expected.startsWith('answered'));
      assert.equal(bench.kindsOf(execution), ['upstream-result', 'upstream-finished']);
      assert.is(standIn.state.executions, executions);
    });
  });
}

const answering =
  (text: string, close: 'destroy' | 'end' | 'keep') =>
  (socket: Socket): void => {
    socket.once('data', () => {
      if (close === 'keep') socket.write(text);
      else if (close === 'end') socket.end(text);
      else socket.write(text, () => socket.destroy());
    });
  };

const ok = 'HTTP/1.1 200 OK\r\n';
const chunked = `${ok}Transfer-Encoding: chunked\r\n\r\n`;
const rawCases: readonly (readonly [string, (socket: Socket) => void, 'answered' | 'failed'])[] = [
  ['accepts and closes', (socket) => socket.destroy(), 'failed'],
  ['cuts the head', answering(`${ok}Content-Le`, 'end'), 'failed'],
  ['ends its answer by closing only', answering(`${ok}\r\nhalf an ans`, 'end'), 'failed'],
  ['omits the last chunk', answering(`${chunked}4\r\nhalf\r\n`, 'end'), 'failed'],
  ['sends too little', answering(`${ok}Content-Length: 9\r\n\r\nhalf`, 'destroy'), 'failed'],
  ['speaks another protocol', answering('no HTTP at all\r\n\r\n', 'keep'), 'failed'],
  ['closes when done', answering(`${ok}Content-Length: 4\r\n\r\nfine`, 'end'), 'answered'],
];

for (const [name, handle, expected] of rawCases) {
  test(`an upstream that ${name} is told as ${expected}`, async () => {
    await withRawServer(handle, async (bench) => {
      const execution = bench.run('/');
      assert.is((await bench.result(execution)).kind, expected);
      assert.is(await bench.finished(execution), expected === 'answered');
    });
  });
}

test('a kept connection that closes under a request is no refused connection: it may have run', async () => {
  const handle = (socket: Socket): void => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      socket.once('data', () => socket.destroy());
    });
  };
  await withRawServer(handle, async (bench) => {
    const first = bench.run('/');
    assert.ok(await bench.finished(first));
    const second = bench.run('/');
    assert.is((await bench.result(second)).kind, 'failed');
  });
});

test('a request that cannot be written as HTTP is no sign that the upstream is down', async () => {
  await withStandIn({}, async (bench, standIn) => {
    const execution = bench.run('/with a blank');
    assert.is((await bench.result(execution)).kind, 'failed');
    assert.not(await bench.finished(execution));
    assert.is(standIn.state.executions, 0);
  });
});

test('polls tell health and load, and no answer or an unreadable one makes the upstream look better', async () => {
  await withStandIn({}, async (bench, standIn) => {
    const kind = 'upstream-polled';
    assert.equal(await bench.polled(), { healthy: true, inFlight: 0, kind });
    await standIn.changeFaults({
      health: 'always-unhealthy',
      load: { inFlight: 7, kind: 'lying' },
    });
    assert.equal(await bench.polled(), { healthy: false, inFlight: 7, kind });
    await standIn.changeFaults({ refuseConnections: true });
    assert.equal(await bench.polled(), { healthy: false, inFlight: undefined, kind });
  });
  await withRawServer(
    answering('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', 'end'),
    async (bench) => {
      const kind = 'upstream-polled';
      assert.equal(await bench.polled(), { healthy: true, inFlight: undefined, kind });
    },
  );
});

test.run();
