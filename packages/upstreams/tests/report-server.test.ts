import { connect } from 'node:net';

import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import { findFreePorts } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReportServer } from '../src/mesh/index.js';
import type { MessageVerdict, ServerMessage } from '../src/mesh/index.js';

const containedErrors: string[] = [];
const confirmed: MessageVerdict = { isBinding: true, requiresFreshReport: false };

async function withReportServer(
  onMessage: (message: ServerMessage) => Promise<MessageVerdict>,
  runTest: (port: number) => Promise<void>,
): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const reportServer = new ReportServer({
    ...createLoopbackOptions(),
    bindPort: port,
    codec: {
      encodeConfirmation: (reportAddress) => reportAddress ?? '{}',
      parse: (_method, path) => ({ instanceId: path, kind: 'leave' }),
    },
    onErrorContained: (error) => containedErrors.push(error.message),
    onMessage,
  });
  await reportServer.listen();
  try {
    await runTest(port);
  } finally {
    await reportServer.close();
  }
}

/**
 * Sends `head` and then `part` repeatedly until the server closes the connection. Resolves to the time until then
 * and the response.
 */
async function sendUntilClosed(
  port: number,
  head: string,
  part: string,
  intervalMilliseconds: number,
): Promise<{ milliseconds: number; response: string }> {
  const startedAt = performance.now();
  const socket = connect({ host: '127.0.0.1', port });
  let response = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => (response += text));
  socket.on('error', () => undefined);
  socket.write(head);
  const timer = setInterval(() => socket.write(part), intervalMilliseconds);
  await new Promise((resolve) => socket.once('close', resolve));
  clearInterval(timer);
  return { response, milliseconds: performance.now() - startedAt };
}

const chunkedRequestHead = 'PUT /i-1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const largeChunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;

/** Name, start, repeated part, its interval in ms, and the time in ms within which the connection has to be closed. */
const cases: readonly (readonly [string, string, string, number, number])[] = [
  ['a body', chunkedRequestHead, largeChunk, 1, 1_000],
  ['a body of one byte at a time', chunkedRequestHead, '1\r\nx\r\n', 100, 8_000],
  ['a header section', 'PUT /i-1 HTTP/1.1\r\n', `x-more: ${'x'.repeat(4_000)}\r\n`, 1, 1_000],
  ['a header of one byte at a time', 'PUT /i-1 HTTP/1.1\r\nx-more: ', 'x', 100, 8_000],
  ['data that is not HTTP', '', 'x'.repeat(16_384), 1, 1_000],
];

for (const [name, head, part, intervalMilliseconds, limitMilliseconds] of cases) {
  test(`the connection is closed on ${name} without end, and no report is delivered`, async () => {
    const delivered: string[] = [];
    const onMessage = async ({ kind }: ServerMessage): Promise<MessageVerdict> => {
      delivered.push(kind);
      return Promise.resolve(confirmed);
    };
    await withReportServer(onMessage, async (port) => {
      const { milliseconds } = await sendUntilClosed(port, head, part, intervalMilliseconds);
      assert.ok(milliseconds < limitMilliseconds, `closed after ${milliseconds} ms`);
      assert.not(delivered.includes('leave'));
    });
  });
}

test('a message is acknowledged only after it has been processed', async () => {
  let isProcessed = false;
  const onMessage = async (): Promise<MessageVerdict> => {
    await new Promise((resolve) => setTimeout(resolve, 80));
    isProcessed = true;
    return confirmed;
  };
  await withReportServer(onMessage, async (port) => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.write('DELETE /i-1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    await new Promise((resolve) => socket.once('data', resolve));
    assert.ok(isProcessed);
    socket.destroy();
  });
});

test('a departure that could not be recorded is not confirmed', async () => {
  await withReportServer(
    () => Promise.resolve({ isBinding: false, requiresFreshReport: false }),
    async (port) => {
      const socket = connect({ host: '127.0.0.1', port });
      socket.write('DELETE /i-1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
      const response = await new Promise<string>((resolve) =>
        socket.once('data', (bytes: Buffer) => {
          resolve(bytes.toString('latin1'));
        }),
      );
      assert.match(response, /^HTTP\/1\.1 503 /);
      socket.destroy();
    },
  );
});

test('an error while a message is handled closes its connection and ends nothing else', async () => {
  let count = 0;
  const onMessage = async (): Promise<MessageVerdict> => {
    count += 1;
    if (count === 1) throw new Error('injected');
    return Promise.resolve(confirmed);
  };
  const send = async (port: number): Promise<string> => {
    const socket = connect({ host: '127.0.0.1', port });
    let response = '';
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => (response += text));
    socket.write('DELETE /i-1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    await new Promise((resolve) => socket.once('close', resolve));
    return response;
  };
  await withReportServer(onMessage, async (port) => {
    assert.is(await send(port), '');
    assert.match(await send(port), /^HTTP\/1\.1 200 /);
  });
  assert.equal(containedErrors, ['injected']);
});

test.run();
