import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { rawRequest } from './shared/raw-http.js';
import { TestServer } from './shared/test-server.js';

const key = { 'idempotency-key': 'key-1' };
const head = rawRequest('POST', '/provenance/issue', { ...key, 'content-length': '9' });

/** How the packets of one request may be cut; the parser's state differs between them. */
const splits: readonly (readonly [string, readonly string[]])[] = [
  ['with the head', [`${head}one two 3`]],
  ['behind the head', [head, 'one two 3']],
  ['in parts', [`${head}one `, 'two ', '3']],
  ['before the next request', [`${head}one two 3${head}one two 3`]],
];

for (const [name, packets] of splits) {
  test(`a body that comes ${name} reaches the core whole, so that no part of it is run`, async () => {
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
