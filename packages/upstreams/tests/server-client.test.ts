import net, { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { DeclineReason } from '@peridotspring/mesh-core';
import type {
  Execution,
  ExecutionResult,
  HeaderList,
  ServerNotice,
  StartFrame,
} from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServerClient } from '../src/mesh/index.js';
import type { ServerHeaderCodec } from '../src/mesh/index.js';

const codec: ServerHeaderCodec = {
  callerService: 'x-caller-service',
  coldRemaining: 'x-cold-remaining',
  deadline: 'x-deadline',
  expectedInstance: 'x-expected-instance',
  instanceId: 'x-instance',
  parseRequestLimit: Number,
  leaving: 'x-leaving',
  requestLimit: 'x-limit',
  load: 'x-load',
  notExecuted: 'x-not-executed',
  parseColdTime: (value) => (value === 'soon' ? undefined : Number(value)),
  parseLoad: (value) => ({ running: Number(value), slots: 4, slowdown: 1, waiting: 0 }),
  requestId: 'x-request-id',
  signature: 'x-signature',
};

/** Small, so that tests reach the limit quickly. */
const responseMemoryBytes = 4_194_304;

type Behaviour = (socket: Socket, requestId: string) => void;

/** A TCP server that responds to each request with the bytes that the test writes. */
class RawServer {
  public connections = 0;
  public readonly sockets = new Set<Socket>();
  private readonly server: Server;

  public constructor(private readonly behaviour: Behaviour) {
    this.server = createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk: Buffer) => {
        const requestId = /x-request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1];
        if (requestId !== undefined) this.behaviour(socket, requestId);
      });
    });
  }

  public async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  public close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** A `ServerClient` whose results can be awaited. */
class ServerClientHarness {
  public readonly client: ServerClient;
  public readonly unexpectedInstances: string[] = [];
  public readonly notices: ServerNotice[] = [];
  private readonly resolvers = new Map<number, (result: ExecutionResult) => void>();
  private nextExecutionId = 1;

  public constructor(port: number) {
    this.client = new ServerClient({
      responseMemoryBytes,
      clock: () => performance.now(),
      codec,
      onResult: (executionId, result) => this.resolvers.get(executionId)?.(result),
      host: '127.0.0.1',
      onLoadReport: () => undefined,
      onNotice: (notice) => this.notices.push(notice),
      onUnexpectedInstance: (instanceId) => this.unexpectedInstances.push(instanceId),
      port,
    });
  }

  public async run(
    requestId: string,
    headers: HeaderList = [],
    method = 'GET',
  ): Promise<ExecutionResult> {
    const executionId = this.nextExecutionId;
    this.nextExecutionId += 1;
    const execution: Execution = {
      deadline: performance.now() + 2_000,
      executionId,
      frame: { ...startFrame(requestId), headers, method },
      instanceId: 'i-1',
    };
    return new Promise((resolve) => {
      this.resolvers.set(executionId, resolve);
      this.client.run(execution);
    });
  }
}

function startFrame(requestId: string): StartFrame {
  return {
    callerService: 'shop',
    callId: 1,
    headers: [],
    idempotent: true,
    kind: 'start',
    method: 'GET',
    nested: false,
    optional: false,
    path: '/a',
    priority: 0,
    remainingMilliseconds: 2_000,
    repeat: false,
    requestId,
    routeName: 'r',
    service: 'shop',
    targetMilliseconds: 500,
  };
}

async function withServer(
  behaviour: Behaviour,
  runTest: (harness: ServerClientHarness, server: RawServer) => Promise<void>,
): Promise<void> {
  const server = new RawServer(behaviour);
  const harness = new ServerClientHarness(await server.listen());
  try {
    await runTest(harness, server);
  } finally {
    harness.client.close();
    server.close();
  }
}

/** Runs a test against a TCP server that responds to anything it receives, for health checks. */
async function withHealthServer(
  behaviour: (socket: Socket, requestId: string) => void,
  runTest: (client: ServerClient, server: { readonly sockets: Set<Socket> }) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      behaviour(socket, 'h');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { client } = new ServerClientHarness((server.address() as AddressInfo).port);
  try {
    await runTest(client, { sockets });
  } finally {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

const sleep = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function responseText(
  requestId: string,
  lines: readonly string[],
  body: string,
  status = 200,
): string {
  const head = [`HTTP/1.1 ${status} Any`, `x-request-id: ${requestId}`, ...lines];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

const signed = 'x-signature: s';
const completeResponse = (requestId: string): string =>
  responseText(requestId, [signed, 'content-length: 4'], 'body');

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
    socket.write(responseText(id, ['x-instance: i-2', 'content-length: 0'], '', 421));
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

/** When a server writes the refusal of its first request once more on a connection that is kept. */
const repeatedRefusals: readonly (readonly [string, (socket: Socket, refusal: string) => void])[] =
  [
    ['together with the first', (socket, refusal) => socket.write(refusal + refusal)],
    [
      'while the connection is idle',
      (socket, refusal) => {
        socket.write(refusal);
        setTimeout(() => socket.write(refusal), 5);
      },
    ],
    [
      'when the next request has arrived',
      (socket, refusal) => {
        socket.write(refusal);
        socket.once('data', () => socket.write(refusal));
      },
    ],
  ];

for (const [when, refuse] of repeatedRefusals) {
  test(`a refusal that a server repeats ${when} does not refuse the next request`, async () => {
    const executed: string[] = [];
    const behaviour: Behaviour = (socket, id) => {
      if (id === 'r-1') {
        refuse(socket, responseText(id, ['x-not-executed: full', 'content-length: 0'], '', 503));
        return;
      }
      executed.push(id);
      setTimeout(() => socket.write(completeResponse(id)), 20);
    };
    for (const pauseMilliseconds of [0, 2, 30]) {
      await withServer(behaviour, async (harness) => {
        assert.is((await harness.run('r-1')).kind, 'not-run');
        await sleep(pauseMilliseconds);
        const before = executed.length;
        const { kind } = await harness.run('r-2');
        if (executed.length > before)
          assert.is.not(kind, 'not-run', `after ${pauseMilliseconds} ms`);
      });
    }
  });
}

for (const framing of ['content-length: 4', 'transfer-encoding: chunked', 'x-framing: none']) {
  test(`a head with ${framing} that is cut off at any byte is no answer`, async () => {
    const headLength = responseText('r-1', [signed, framing], '').length;
    for (let cut = 0; cut < headLength; cut += 1) {
      const behaviour: Behaviour = (socket, id) => {
        const head = responseText(id, [signed, framing], '').slice(0, cut);
        if (cut % 2 === 0) socket.end(head);
        else socket.write(head, () => socket.resetAndDestroy());
      };
      await withServer(behaviour, async (harness) => {
        assert.is((await harness.run('r-1')).kind, 'failed', `cut after ${cut} bytes`);
      });
    }
  });
}

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

test('a response with status 204 that declares a body ends with its head', async () => {
  const declarations = ['content-length: 100000', 'transfer-encoding: chunked'];
  for (const declaration of declarations) {
    const behaviour: Behaviour = (socket, id) =>
      socket.write(responseText(id, [signed, declaration], '', 204));
    await withServer(behaviour, async (harness) => {
      for (const requestId of ['r-1', 'r-2']) {
        const result = await Promise.race([harness.run(requestId), sleep(1_500)]);
        assert.is(result?.kind === 'answered' && result.body.length, 0, declaration);
      }
    });
  }
});

test('a response that can have no body needs no length', async () => {
  const responses = [
    { method: 'GET', status: 204 },
    { method: 'GET', status: 304 },
    { method: 'HEAD', status: 200 },
  ];
  for (const { method, status } of responses) {
    const behaviour: Behaviour = (socket, id) =>
      socket.write(responseText(id, [signed], '', status));
    await withServer(behaviour, async (harness) => {
      const result = await harness.run('r-1', [], method);
      assert.is(result.kind === 'answered' && result.status, status);
    });
  }
});

test('the limit that a server states in a response is reported before the result, also for a request it did not run', async () => {
  const limits: Readonly<Record<string, readonly string[]>> = {
    'r-1': ['x-limit: 8.9'],
    'r-2': ['x-limit: 7', 'x-not-executed: full'],
    'r-3': [],
  };
  const behaviour: Behaviour = (socket, id) =>
    socket.write(responseText(id, [signed, 'content-length: 0', ...(limits[id] ?? [])], ''));
  await withServer(behaviour, async (harness) => {
    for (const [index, requestsPerSecond] of [8.9, 7, Infinity].entries()) {
      await harness.run(`r-${index + 1}`);
      const expected = { instanceId: 'i-1', isLeaving: false, requestsPerSecond };
      assert.equal(harness.notices.at(-1), expected);
    }
  });
});

test('a server that states in a response that it leaves is reported before the result', async () => {
  for (const [value, isLeaving] of [['1', true] as const, ['0', false] as const]) {
    const behaviour: Behaviour = (socket, id) =>
      socket.write(responseText(id, [signed, 'content-length: 0', `x-leaving: ${value}`], ''));
    await withServer(behaviour, async (harness) => {
      await harness.run('r-1');
      assert.is(harness.notices.at(-1)?.isLeaving, isLeaving);
    });
  }
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

/** Name, start of the endless response for a request identifier, and the part that is repeated. */
const endlessCases: readonly (readonly [string, (id: string) => string, string])[] = [
  ['a header section', () => 'HTTP/1.1 200 Any\r\n', 'x-more: 1\r\n'],
  ['a header line', () => 'HTTP/1.1 200 Any\r\nx-more: ', bytes],
  ['data that is not HTTP', () => '', bytes],
  ['a chunked body', (id) => responseText(id, [signed, 'transfer-encoding: chunked'], ''), chunk],
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
    await withHealthServer(health, async (client, server) => {
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
    await withHealthServer(behaviour, async (client) => {
      assert.is((await client.health('/health'))?.coldMilliseconds, expected);
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
  await withHealthServer(behaviour, async (client, server) => {
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
