import { connect } from 'node:net';

import { createLoopbackOptions } from '@peridotspring/http-server/fixtures';
import { findFreePorts } from '@peridotspring/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnnouncementServer } from '../src/index.js';
import { ReportServer } from '../src/mesh/index.js';
import { withRawServer } from './client-harness.js';

// Regression (UNASKED): by default, Node.js drops the fields after the thousandth without an error, also those that tell of a body.
const manyFields = Array.from({ length: 1_000 }, (_, index) => `x${index}: 1\r\n`).join('');
const head = `host: a\r\nconnection: close\r\n${manyFields}`;

async function send(port: number, text: string): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port });
  let response = '';
  socket.on('data', (bytes) => {
    response += bytes.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.write(text);
  await new Promise((resolve) => socket.once('close', resolve));
  return response;
}

test('a report whose length is told after the thousandth field is read whole', async () => {
  const bodies: string[] = [];
  const [port = 0] = await findFreePorts(1);
  const server = new ReportServer({
    ...createLoopbackOptions(),
    bindPort: port,
    codec: {
      encodeConfirmation: () => '{}',
      parse: (_method, _path, body) => {
        bodies.push(body);
        return { instanceId: 'i-1', kind: 'leave' };
      },
    },
    onErrorContained: () => undefined,
    onMessage: () => Promise.resolve({ isBinding: true, requiresFreshReport: false }),
  });
  await server.listen();
  const response = await send(port, `PUT /i-1 HTTP/1.1\r\n${head}content-length: 4\r\n\r\nbody`);
  await server.close();
  assert.match(response, /^HTTP\/1\.1 200 /);
  assert.equal(bodies, ['body']);
});

test('an announcement whose length is told after the thousandth field is read whole', async () => {
  const kinds: string[] = [];
  const server = new AnnouncementServer({
    ...createLoopbackOptions(),
    onMessage: ({ kind }) => kinds.push(kind),
  });
  const port = await server.listen();
  const body = JSON.stringify({
    address: '127.0.0.1:8080',
    connections: 200,
    service: 'a',
    slots: 6,
  });
  const length = `content-length: ${body.length}\r\n\r\n`;
  const response = await send(port, `POST /announce HTTP/1.1\r\n${head}${length}${body}`);
  await server.close();
  assert.match(response, /^HTTP\/1\.1 200 /);
  assert.equal(kinds, ['upstream-announced']);
});

test("an upstream's answer whose length is told after the thousandth field arrives with all fields", async () => {
  const answer = `HTTP/1.1 200 OK\r\n${manyFields}x-late: 1\r\ncontent-length: 2\r\n\r\nok`;
  await withRawServer(
    (socket) => socket.once('data', () => socket.write(answer)),
    async (harness) => {
      const result = await harness.waitForResult(harness.run('/'));
      if (result.kind !== 'answered') throw new Error(result.kind);
      assert.is(result.headers['x-late'], '1');
    },
  );
});

test.run();
