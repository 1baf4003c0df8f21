import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { HttpStoreTransport } from '../src/key-values/index.js';
import type { StoreCall, StoreCallCodec, StoreResponse } from '../src/key-values/index.js';

const call: StoreCall<string> = {
  method: 'GET',
  name: 'read',
  parse: (status, body) =>
    status === 200 ? { kind: 'ok', value: body } : { detail: String(status), kind: 'unavailable' },
  path: '/',
};
const codec: Pick<StoreCallCodec, 'eraHeader' | 'parseEra'> = {
  eraHeader: 'x-era',
  parseEra: Number,
};

/** Makes one call to a store that answers with the status line. */
async function callOnce(statusLine: string): Promise<StoreResponse<string>> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.end(`HTTP/1.1 ${statusLine}\r\nx-era: 7\r\ncontent-length: 2\r\n\r\n{}`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const transport = new HttpStoreTransport({
    clock: () => performance.now(),
    codec,
    contentType: 'application/json',
    host: '127.0.0.1',
    onCallCompleted: () => undefined,
    port: (server.address() as AddressInfo).port,
  });
  try {
    return await transport.execute(call);
  } finally {
    transport.close();
    server.close();
  }
}

test('a response with a status of HTTP states the era of the store', async () => {
  assert.equal(await callOnce('200 OK'), { era: 7, kind: 'ok', value: '{}' });
  assert.is((await callOnce('503 Service Unavailable')).era, 7);
});

// A false era makes the node take everything that it has read from the store for outdated.
for (const status of ['000', '099', '600']) {
  test(`a response with the status ${status} states nothing, and the call failed`, async () => {
    const response = await callOnce(`${status} Any`);
    assert.is(response.kind, 'unavailable');
    assert.is(response.era, undefined);
  });
}

test.run();
