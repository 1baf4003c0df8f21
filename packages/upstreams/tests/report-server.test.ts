import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReportServer } from '../src/mesh/index.js';
import type { ServerMessage } from '../src/mesh/index.js';

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function withReports(
  deliver: (message: ServerMessage) => Promise<void>,
  run: (port: number) => Promise<void>,
): Promise<void> {
  const port = await freePort();
  const reports = new ReportServer({
    bindHost: '127.0.0.1',
    bindPort: port,
    codec: { parse: (_method, path) => ({ instanceId: path, kind: 'leave' }) },
    deliver,
  });
  await reports.listen();
  try {
    await run(port);
  } finally {
    await reports.close();
  }
}

/** Writes to the port until it closes the connection; gives the time that took and what was answered. */
async function talk(
  port: number,
  head: string,
  part: string,
  pauseMilliseconds: number,
): Promise<{ milliseconds: number; answer: string }> {
  const startedAt = performance.now();
  const socket = connect({ host: '127.0.0.1', port });
  let answer = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => (answer += text));
  socket.on('error', () => undefined);
  socket.write(head);
  const timer = setInterval(() => socket.write(part), pauseMilliseconds);
  await new Promise((resolve) => socket.once('close', resolve));
  clearInterval(timer);
  return { answer, milliseconds: performance.now() - startedAt };
}

const headOfBody = 'PUT /i-1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const largeChunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;

/** What a server may send without end, how it is paced, and the time within which it has to end. */
const cases: readonly (readonly [string, string, string, number, number])[] = [
  ['a body', headOfBody, largeChunk, 1, 1_000],
  ['a body, a byte at a time', headOfBody, '1\r\nx\r\n', 100, 8_000],
  ['a head', 'PUT /i-1 HTTP/1.1\r\n', `x-more: ${'x'.repeat(4_000)}\r\n`, 1, 1_000],
  ['a head, a byte at a time', 'PUT /i-1 HTTP/1.1\r\nx-more: ', 'x', 100, 8_000],
  ['bytes that are no request', '', 'x'.repeat(16_384), 1, 1_000],
];

for (const [name, head, part, pauseMilliseconds, limit] of cases) {
  test(`${name} without end is closed, and delivers nothing as a report`, async () => {
    const delivered: string[] = [];
    const deliver = async ({ kind }: ServerMessage): Promise<void> => {
      delivered.push(kind);
      await Promise.resolve();
    };
    await withReports(deliver, async (port) => {
      const { milliseconds } = await talk(port, head, part, pauseMilliseconds);
      assert.ok(milliseconds < limit, `closed after ${milliseconds} ms`);
      assert.not(delivered.includes('leave'));
    });
  });
}

test('a message is confirmed only once it has been dealt with', async () => {
  let hasBeenDealtWith = false;
  const deliver = async (): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, 80));
    hasBeenDealtWith = true;
  };
  await withReports(deliver, async (port) => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.write('DELETE /i-1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    await new Promise((resolve) => socket.once('data', resolve));
    assert.ok(hasBeenDealtWith);
    socket.destroy();
  });
});

test.run();
