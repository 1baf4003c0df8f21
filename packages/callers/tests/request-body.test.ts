import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { rawRequest } from './shared/raw-http.js';
import { TestServer } from './shared/test-server.js';

const key = { 'idempotency-key': 'key-1' };
const head = rawRequest('POST', '/provenance/issue', { ...key, 'content-length': '9' });

/** How a request may be split into packets; each split leaves the parser in a different state. */
const splits: readonly (readonly [string, readonly string[]])[] = [
  ['in the packet of its head', [`${head}one two 3`]],
  ['in one packet after the head', [head, 'one two 3']],
  ['in several packets', [`${head}one `, 'two ', '3']],
  ['in one packet with the next request', [`${head}one two 3${head}one two 3`]],
];

for (const [name, packets] of splits) {
  test(`a body sent ${name} reaches the core whole, so that no partial body is processed`, async () => {
    const server = new TestServer();
    await server.start();
    let arrived = (): void => undefined;
    const first = new Promise<void>((resolve) => (arrived = resolve));
    server.onRequest = () => {
      arrived();
    };
    const socket = connect({ host: '127.0.0.1', noDelay: true, port: server.port });
    for (const packet of packets) {
      socket.write(packet);
      await sleep(20);
    }
    await first;
    socket.destroy();
    await server.callers.close();
    assert.is(Buffer.from(server.requests[0]?.body ?? []).toString(), 'one two 3');
  });
}

test.run();
