import net from 'node:net';
import type { Socket } from 'node:net';

import { DeclineReason } from '@peridotspring/mesh-core';
import type { ExecutionResult } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  RawServer,
  ServerClientHarness,
  completeResponse,
  responseText,
  signed,
  sleep,
  withHealthServer,
  withServer,
} from './server-client-harness.js';
import type { Behaviour } from './server-client-harness.js';

/** Name, behaviour of the server, and the kind of result that the client has to report. */
const cases: readonly (readonly [string, Behaviour, ExecutionResult['kind']])[] = [
  ['a complete response', (socket, id) => socket.write(completeResponse(id)), 'answered'],
  [
    'a response that is delimited by the end of its connection',
    (socket, id) => socket.end(responseText(id, [signed], 'body')),
    'answered',
  ],
  [
    'a response without a length whose connection is reset, so that its end is unknown,',
    (socket, id) => {
      socket.write(responseText(id, [signed], 'bo'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    'failed',
  ],
  [
    'a response without a length that is reset together with its last bytes, which Node.js reports as an end,',
    (socket, id) => {
      socket.write(responseText(id, [signed], 'bo'));
      socket.resetAndDestroy();
    },
    'failed',
  ],
  [
    'a truncated response',
    (socket, id) => socket.end(responseText(id, [signed, 'content-length: 40'], 'body')),
    'failed',
  ],
  [
    'a response to another request',
    (socket) => socket.write(completeResponse('another')),
    'failed',
  ],
  [
    'a success status without the signature of the server',
    (socket, id) => socket.write(responseText(id, ['content-length: 4'], 'body')),
    'failed',
  ],
  [
    'a response with a content encoding, which the server did not produce,',
    (socket, id) =>
      socket.write(
        responseText(id, [signed, 'content-encoding: gzip', 'content-length: 4'], 'body'),
      ),
    'failed',
  ],
  ['data that is not HTTP', (socket) => socket.write('nonsense\r\n\r\n'), 'failed'],
  ['a connection that is closed without a response', (socket) => socket.end(), 'failed'],
  [
    'a signed response with status 500',
    (socket, id) => socket.write(responseText(id, [signed, 'content-length: 0'], '', 500)),
    'answered',
  ],
  [
    'a rejection that is marked as not executed',
    (socket, id) =>
      socket.write(responseText(id, ['x-not-executed: 1', 'content-length: 0'], '', 503)),
    'not-run',
  ],
];

for (const [name, behaviour, kind] of cases) {
  test(`${name} is ${kind}`, async () => {
    await withServer(behaviour, async (harness) => {
      assert.is((await harness.run('r-1')).kind, kind);
    });
  });
}

test('a refused connection is reported as not run', async () => {
  const server = new RawServer(() => undefined);
  const port = await server.listen();
  server.close();
  const harness = new ServerClientHarness(port);
  const result = await harness.run('r-1');
  assert.equal(result.kind === 'not-run' && result.reason, DeclineReason.ServerUnreachable);
});

test('a server other than the expected one at the address is reported', async () => {
  const behaviour: Behaviour = (socket, id) =>
    socket.write(
      responseText(id, ['x-instance: i-2', 'x-not-executed: 1', 'content-length: 0'], '', 421),
    );
  await withServer(behaviour, async (harness) => {
    assert.is((await harness.run('r-1')).kind, 'not-run');
    assert.equal(harness.unexpectedInstances, ['i-2']);
  });
});

test('an unsolicited response is not taken for the response to the next request', async () => {
  let isFirst = true;
  const behaviour: Behaviour = (socket, id) => {
    socket.write(completeResponse(id));
    if (isFirst) setTimeout(() => socket.write(completeResponse('extra')), 20);
    isFirst = false;
  };
  await withServer(behaviour, async (harness, server) => {
    assert.is((await harness.run('r-1')).kind, 'answered');
    await sleep(60);
    assert.is((await harness.run('r-2')).kind, 'answered');
    assert.is(server.connections, 2);
  });
});

test('only a connection that this node did not close counts as lost, and the server then refuses connections if it has ended', async () => {
  const behaviour: Behaviour = (socket, id) => {
    if (id === 'r-lost') socket.destroy();
  };
  await withServer(behaviour, async (harness, server) => {
    const lost = await harness.run('r-lost');
    assert.ok(lost.kind === 'failed' && lost.isConnectionLost);
    const aborted = harness.run('r-aborted');
    await sleep(30);
    harness.client.abort(2);
    const result = await aborted;
    assert.ok(result.kind === 'failed' && result.isConnectionLost !== true);
    assert.not(await harness.client.isRefusingConnections());
    server.close();
    assert.ok(await harness.client.isRefusingConnections());
  });
});

test('connections are not reused after a response to another request', async () => {
  let requestCount = 0;
  const behaviour: Behaviour = (socket, id) => {
    requestCount += 1;
    socket.write(completeResponse(requestCount === 1 ? 'another' : id));
  };
  await withServer(behaviour, async (harness, server) => {
    assert.is((await harness.run('r-1')).kind, 'failed');
    assert.is((await harness.run('r-2')).kind, 'answered');
    assert.is((await harness.run('r-3')).kind, 'answered');
    assert.is(server.connections, 3);
  });
});

test('a keep-alive connection is reused for the next request', async () => {
  await withServer(
    (socket, id) => socket.write(completeResponse(id)),
    async (harness, server) => {
      await harness.run('r-1');
      await sleep(10);
      await harness.run('r-2');
      assert.is(server.connections, 1);
    },
  );
});

// Listeners that stay on a connection after each request use memory, and Node.js calls all of them when it closes.
test('a connection carries many requests without accumulating listeners', async () => {
  const warnings: string[] = [];
  const onWarning = ({ message }: Error): number => warnings.push(message);
  process.on('warning', onWarning);
  await withServer(
    (socket, id) => socket.write(completeResponse(id)),
    async (harness, server) => {
      for (let request = 1; request <= 30; request += 1) {
        await harness.run(`r-${request}`);
        await sleep(2);
      }
      assert.is(server.connections, 1);
    },
  );
  process.off('warning', onWarning);
  assert.equal(warnings, []);
});

/** Writes `part` repeatedly, as fast as it is read, until the connection is closed. */
function writeEndlessly(socket: Socket, head: string, part: string): void {
  socket.write(head);
  const writeNext = (): void => {
    if (socket.destroyed) return;
    if (socket.write(part)) setImmediate(writeNext);
    else socket.once('drain', writeNext);
  };
  writeNext();
}

const chunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;
const bytes = 'x'.repeat(16_384);
const shortChunks = '1\r\nx\r\n'.repeat(2_000);
const interimResponses = 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500);

/** Name, start of the endless response for a request identifier, and the part that is repeated. */
const endlessCases: readonly (readonly [string, (id: string) => string, string])[] = [
  ['a header section', () => 'HTTP/1.1 200 Any\r\n', 'x-more: 1\r\n'],
  ['a header line', () => 'HTTP/1.1 200 Any\r\nx-more: ', bytes],
  ['data that is not HTTP', () => '', bytes],
  ['a chunked body', (id) => responseText(id, [signed, 'transfer-encoding: chunked'], ''), chunk],
  [
    'a body in chunks of one byte',
    (id) => responseText(id, [signed, 'transfer-encoding: chunked'], ''),
    shortChunks,
  ],
  ['interim responses', () => '', interimResponses],
  ['a body delimited by the end of the connection', (id) => responseText(id, [signed], ''), bytes],
  [
    'a body with a huge Content-Length',
    (id) => responseText(id, [signed, 'content-length: 999999999999'], ''),
    bytes,
  ],
  [
    'a chunk extension',
    (id) => responseText(id, [signed, 'transfer-encoding: chunked'], '1;'),
    bytes,
  ],
  ['extra bytes after a complete response', completeResponse, bytes],
];

for (const [name, head, part] of endlessCases) {
  test(`the connection of a request or a health check is closed on ${name} without end`, async () => {
    const behaviour: Behaviour = (socket, id) => {
      writeEndlessly(socket, head(id), part);
    };
    await withServer(behaviour, async (harness, server) => {
      const before = process.memoryUsage.rss();
      const { kind } = await harness.run('r-1');
      assert.is(kind, head('r-1').endsWith('body') ? 'answered' : 'failed');
      await sleep(200);
      assert.is(server.sockets.size, 0);
      assert.ok(process.memoryUsage.rss() - before < 64_000_000);
    });
    const health: Behaviour = (socket) => {
      writeEndlessly(socket, head('h'), part);
    };
    const isAnswer = head('h').endsWith('body');
    await withHealthServer(health, async ({ client }, server) => {
      assert.is((await client.health('/health')) === undefined, !isAnswer);
      await sleep(200);
      assert.is(server.sockets.size, 0);
    });
  });
}

/** Status and header fields of the answer to a health check, and the time for which the server says that it stays cold. */
const coldTimes: readonly (readonly [string, readonly string[], number | undefined])[] = [
  ['200 OK', ['x-cold-remaining: 1200'], 1_200],
  ['200 OK', [], 0],
  ['200 OK', ['x-cold-remaining: soon'], undefined],
  ['503 Service Unavailable', ['x-cold-remaining: 300'], 300],
  // A full server rejects the check without looking at it.
  ['503 Service Unavailable', [], undefined],
];

for (const [status, fields, expected] of coldTimes) {
  test(`a health check answered ${status} with ${fields.join() || 'no field'}: cold for ${String(expected)} ms`, async () => {
    const behaviour: Behaviour = (socket) => {
      socket.end(`HTTP/1.1 ${[status, ...fields, 'content-length: 0'].join('\r\n')}\r\n\r\n`);
    };
    await withHealthServer(behaviour, async ({ client }) => {
      assert.is((await client.health('/health'))?.coldMilliseconds, expected);
    });
  });
}

// A response whose status is not one of HTTP comes from a server in trouble, and so does the load that it states.
for (const status of ['000', '001', '600']) {
  test(`a health check answered with the status ${status} states nothing about the server`, async () => {
    const behaviour: Behaviour = (socket) => {
      socket.end(
        `HTTP/1.1 ${status} Any\r\nx-load: 3\r\nx-instance: i\r\ncontent-length: 0\r\n\r\n`,
      );
    };
    await withHealthServer(behaviour, async ({ client }) => {
      assert.is(await client.health('/health'), undefined);
    });
  });
}

test('a health check whose response arrives one byte at a time times out', async () => {
  const behaviour: Behaviour = (socket) => {
    socket.write(responseText('h', ['content-length: 9999'], ''));
    const timer = setInterval(() => socket.write('x'), 100);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  await withHealthServer(behaviour, async ({ client }, server) => {
    const startedAt = performance.now();
    assert.is(await client.health('/health'), undefined);
    assert.ok(performance.now() - startedAt < 1_500);
    await sleep(50);
    assert.is(server.sockets.size, 0);
  });
});

test('aborting a request whose response arrives one byte at a time closes its connection', async () => {
  const behaviour: Behaviour = (socket, id) => {
    socket.write(responseText(id, [signed, 'content-length: 9999'], ''));
    const timer = setInterval(() => socket.write('x'), 20);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  await withServer(behaviour, async (harness, server) => {
    const result = harness.run('r-1');
    await sleep(100);
    harness.client.abort(1);
    assert.is((await result).kind, 'failed');
    await sleep(50);
    assert.is(server.sockets.size, 0);
  });
});

test('endless responses on several connections fail, while ordinary requests in parallel are answered', async () => {
  const behaviour: Behaviour = (socket, id) => {
    if (id.startsWith('endless')) {
      writeEndlessly(socket, responseText(id, [signed, 'transfer-encoding: chunked'], ''), chunk);
    } else socket.write(completeResponse(id));
  };
  await withServer(behaviour, async (harness, server) => {
    const before = process.memoryUsage.rss();
    const failing = Array.from({ length: 6 }, (_, index) => harness.run(`endless-${index}`));
    for (let request = 0; request < 20; request += 1) {
      assert.is((await harness.run(`r-${request}`)).kind, 'answered');
    }
    for (const result of await Promise.all(failing)) assert.is(result.kind, 'failed');
    await sleep(200);
    assert.is(server.sockets.size, 0);
    assert.ok(process.memoryUsage.rss() - before < 64_000_000);
  });
});

// Without an explicit TLS server name, Node.js derived it from the Host field and tested whether it is an IP address:
// two regular expressions for each request, one of which took 3.6 ms of CPU time to compile in a new process.
test('the Host field of a request is not tested for an IP address', async () => {
  const tested: string[] = [];
  const { isIP } = net;
  const server = new RawServer((socket, id) => socket.write(completeResponse(id)));
  const harness = new ServerClientHarness(await server.listen());
  net.isIP = (input) => {
    tested.push(input);
    return isIP(input);
  };
  try {
    const result = await harness.run('q-1', [['host', 'shop.example']]);
    assert.is(result.kind, 'answered');
  } finally {
    net.isIP = isIP;
    harness.client.close();
    server.close();
  }
  assert.not(tested.includes('shop.example'));
});

test.run();
