import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import type { UpstreamFaults } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withRawServer, withStandIn } from './client-harness.js';

type ReportedResult = 'answered 200' | 'answered 500' | 'cut stream' | 'failed' | 'not-reached';

const cutBody = { cutBody: true };
const faultCases: readonly (readonly [
  string,
  Partial<UpstreamFaults>,
  string,
  ReportedResult,
  number,
])[] = [
  ['slow', { slowFactor: 2 }, '/', 'answered 200', 1],
  ['failing fast', { failFast: true }, '/', 'answered 500', 0],
  ['refusing connections', { refuseConnections: true }, '/', 'not-reached', 0],
  ['closing without a response', { closeWithoutAnswer: true }, '/', 'failed', 1],
  ['truncating a short response', cutBody, '/', 'failed', 1],
  ['truncating a short chunked response', cutBody, '/?chunked=1', 'failed', 1],
  ['truncating a long response', cutBody, '/?bytes=500000', 'cut stream', 1],
  ['truncating a long chunked response', cutBody, '/?chunked=1&bytes=500000', 'cut stream', 1],
  ['truncating a collected response', cutBody, '/?bytes=500001', 'failed', 1],
];

for (const [name, faults, path, expected, executions] of faultCases) {
  const collectAnswer = name.includes('collected');
  test(`an upstream that is ${name} is reported as ${expected}`, async () => {
    await withStandIn(faults, async (harness, standIn) => {
      const executionId = harness.run(path, { collectAnswer });
      const result = await harness.waitForResult(executionId);
      if (expected === 'cut stream') {
        assert.ok(result.kind === 'answered' && result.streamedBody);
        const stream = harness.client.responseBody(executionId) ?? Readable.from([]);
        const [read] = await Promise.allSettled([buffer(stream)]);
        assert.is(read.status, 'rejected');
      } else {
        const reported = result.kind === 'answered' ? `answered ${result.status}` : result.kind;
        assert.is(reported, expected);
      }
      assert.is(await harness.waitForFinish(executionId), expected.startsWith('answered'));
      assert.equal(harness.kindsOf(executionId), ['upstream-result', 'upstream-finished']);
      assert.is(standIn.state.executions, executions);
    });
  });
}

const respondWith =
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
  ['closes the connection on accept', (socket) => socket.destroy(), 'failed'],
  ['truncates its header section', respondWith(`${ok}Content-Le`, 'end'), 'failed'],
  [
    'delimits its response only by closing the connection',
    respondWith(`${ok}\r\nhalf an ans`, 'end'),
    'failed',
  ],
  ...['000', '099', '101', '600'].map(
    (status) =>
      [
        `responds with the status ${status}`,
        respondWith(`HTTP/1.1 ${status} Any\r\nContent-Length: 4\r\n\r\nbody`, 'keep'),
        'failed',
      ] as const,
  ),
  [
    'sends interim responses without end',
    respondWith('HTTP/1.1 100 Continue\r\n\r\n'.repeat(1_000), 'keep'),
    'failed',
  ],
  [
    'delimits an identity coding only by closing the connection',
    respondWith(`${ok}Transfer-Encoding: identity\r\n\r\nhalf an ans`, 'end'),
    'failed',
  ],
  ['omits the last chunk', respondWith(`${chunked}4\r\nhalf\r\n`, 'end'), 'failed'],
  [
    'sends less than its Content-Length',
    respondWith(`${ok}Content-Length: 9\r\n\r\nhalf`, 'destroy'),
    'failed',
  ],
  ['speaks another protocol', respondWith('no HTTP at all\r\n\r\n', 'keep'), 'failed'],
  [
    'closes the connection after a complete response',
    respondWith(`${ok}Content-Length: 4\r\n\r\nfine`, 'end'),
    'answered',
  ],
];

for (const [name, handle, expected] of rawCases) {
  test(`an upstream that ${name} is reported as ${expected}`, async () => {
    await withRawServer(handle, async (harness) => {
      const executionId = harness.run('/');
      assert.is((await harness.waitForResult(executionId)).kind, expected);
      assert.is(await harness.waitForFinish(executionId), expected === 'answered');
    });
  });
}

test('a keep-alive connection that closes during a request gives failed, not not-reached: it may have been executed', async () => {
  const handle = (socket: Socket): void => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      socket.once('data', () => socket.destroy());
    });
  };
  await withRawServer(handle, async (harness) => {
    const first = harness.run('/');
    assert.ok(await harness.waitForFinish(first));
    const second = harness.run('/');
    assert.is((await harness.waitForResult(second)).kind, 'failed');
  });
});

test('a request that is not valid HTTP is not reported as an unreachable upstream', async () => {
  await withStandIn({}, async (harness, standIn) => {
    const executionId = harness.run('/with a blank');
    assert.is((await harness.waitForResult(executionId)).kind, 'failed');
    assert.not(await harness.waitForFinish(executionId));
    assert.is(standIn.state.executions, 0);
  });
});

test('polls report health and load; a missing or invalid response never improves the result', async () => {
  await withStandIn({}, async (harness, standIn) => {
    const kind = 'upstream-polled';
    assert.equal(await harness.pollOnce(), { healthy: true, inFlight: 0, kind });
    await standIn.changeFaults({
      health: 'always-unhealthy',
      load: { inFlight: 7, kind: 'lying' },
    });
    assert.equal(await harness.pollOnce(), { healthy: false, inFlight: 7, kind });
    await standIn.changeFaults({ refuseConnections: true });
    assert.equal(await harness.pollOnce(), { healthy: false, inFlight: undefined, kind });
  });
  await withRawServer(
    respondWith('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', 'end'),
    async (harness) => {
      const kind = 'upstream-polled';
      assert.equal(await harness.pollOnce(), { healthy: true, inFlight: undefined, kind });
    },
  );
});

test.run();
