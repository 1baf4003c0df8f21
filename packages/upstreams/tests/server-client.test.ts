import net, { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { DeclineReason } from '@peridotspring/mesh-core';
import type { Execution, ExecutionResult, HeaderList, StartFrame } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServerClient } from '../src/mesh/index.js';
import type { ServerHeaderCodec } from '../src/mesh/index.js';

const codec: ServerHeaderCodec = {
  callerService: 'x-caller-service',
  deadline: 'x-deadline',
  expectedInstance: 'x-expected-instance',
  instanceId: 'x-instance',
  load: 'x-load',
  notExecuted: 'x-not-executed',
  parseLoad: (value) => ({ running: Number(value), slots: 4, slowdown: 1, waiting: 0 }),
  requestId: 'x-request-id',
  signature: 'x-signature',
};

/** Small, so that a test reaches it soon. */
const answerMemoryBytes = 4_194_304;

type Behaviour = (socket: Socket, requestId: string) => void;

/** A server that answers each request with whatever bytes the test says. */
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

class Bench {
  public readonly client: ServerClient;
  public readonly instances: string[] = [];
  private readonly waiting = new Map<number, (result: ExecutionResult) => void>();
  private nextExecutionId = 1;

  public constructor(port: number) {
    this.client = new ServerClient({
      answerMemoryBytes,
      clock: () => performance.now(),
      codec,
      concluded: (executionId, result) => this.waiting.get(executionId)?.(result),
      host: '127.0.0.1',
      load: () => undefined,
      otherInstance: (instanceId) => this.instances.push(instanceId),
      port,
    });
  }

  public async run(requestId: string, headers: HeaderList = []): Promise<ExecutionResult> {
    const executionId = this.nextExecutionId;
    this.nextExecutionId += 1;
    const execution: Execution = {
      deadline: performance.now() + 2_000,
      executionId,
      frame: { ...startFrame(requestId), headers },
      instanceId: 'i-1',
    };
    return new Promise((resolve) => {
      this.waiting.set(executionId, resolve);
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
  run: (bench: Bench, server: RawServer) => Promise<void>,
): Promise<void> {
  const server = new RawServer(behaviour);
  const bench = new Bench(await server.listen());
  try {
    await run(bench, server);
  } finally {
    bench.client.close();
    server.close();
  }
}

/** A server that answers whatever it is sent, for health checks. */
async function withHealth(
  behaviour: (socket: Socket, requestId: string) => void,
  run: (client: ServerClient, server: { readonly sockets: Set<Socket> }) => Promise<void>,
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
  const { client } = new Bench((server.address() as AddressInfo).port);
  try {
    await run(client, { sockets });
  } finally {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

const pause = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function answer(requestId: string, lines: readonly string[], body: string, status = 200): string {
  const head = [`HTTP/1.1 ${status} Any`, `x-request-id: ${requestId}`, ...lines];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

const signed = 'x-signature: s';
const whole = (requestId: string): string =>
  answer(requestId, [signed, 'content-length: 4'], 'body');

/** What the server does, what the client concludes, and the failure that the case guards against. */
const cases: readonly (readonly [string, Behaviour, ExecutionResult['kind']])[] = [
  ['a whole answer', (socket, id) => socket.write(whole(id)), 'answered'],
  [
    'an answer that ends with its connection',
    (socket, id) => socket.end(answer(id, [signed], 'body')),
    'answered',
  ],
  [
    'an answer without a length whose connection is reset: its end is not known',
    (socket, id) => {
      socket.write(answer(id, [signed], 'bo'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    'failed',
  ],
  [
    'an answer without a length that is reset with its last bytes, which Node.js shows as an end',
    (socket, id) => {
      socket.write(answer(id, [signed], 'bo'));
      socket.resetAndDestroy();
    },
    'failed',
  ],
  [
    'an answer that is cut',
    (socket, id) => socket.end(answer(id, [signed, 'content-length: 40'], 'body')),
    'failed',
  ],
  ['an answer to another request', (socket) => socket.write(whole('another')), 'failed'],
  [
    'a success without the signature of the server',
    (socket, id) => socket.write(answer(id, ['content-length: 4'], 'body')),
    'failed',
  ],
  [
    'an encoded answer, which is not what the server made',
    (socket, id) =>
      socket.write(answer(id, [signed, 'content-encoding: gzip', 'content-length: 4'], 'body')),
    'failed',
  ],
  ['bytes that are no answer', (socket) => socket.write('nonsense\r\n\r\n'), 'failed'],
  ['a connection that is closed at once', (socket) => socket.end(), 'failed'],
  [
    'a failure of the server itself',
    (socket, id) => socket.write(answer(id, [signed, 'content-length: 0'], '', 500)),
    'answered',
  ],
  [
    'a refusal that says that nothing ran',
    (socket, id) => socket.write(answer(id, ['x-not-executed: 1', 'content-length: 0'], '', 503)),
    'not-run',
  ],
];

for (const [name, behaviour, kind] of cases) {
  test(`${name} is ${kind}`, async () => {
    await withServer(behaviour, async (bench) => {
      assert.is((await bench.run('r-1')).kind, kind);
    });
  });
}

test('an address without a process means that the request did not run', async () => {
  const server = new RawServer(() => undefined);
  const port = await server.listen();
  server.close();
  const bench = new Bench(port);
  const result = await bench.run('r-1');
  assert.equal(result.kind === 'not-run' && result.reason, DeclineReason.ServerUnreachable);
});

test('another server at the address is named, so that the gate can learn of it', async () => {
  const behaviour: Behaviour = (socket, id) =>
    socket.write(answer(id, ['x-instance: i-2', 'content-length: 0'], '', 421));
  await withServer(behaviour, async (bench) => {
    assert.is((await bench.run('r-1')).kind, 'not-run');
    assert.equal(bench.instances, ['i-2']);
  });
});

test('an extra answer is not taken for the answer of the next request', async () => {
  let isFirst = true;
  const behaviour: Behaviour = (socket, id) => {
    socket.write(whole(id));
    if (isFirst) setTimeout(() => socket.write(whole('extra')), 20);
    isFirst = false;
  };
  await withServer(behaviour, async (bench, server) => {
    assert.is((await bench.run('r-1')).kind, 'answered');
    await pause(60);
    assert.is((await bench.run('r-2')).kind, 'answered');
    assert.is(server.connections, 2);
  });
});

test('connections are used once only after a server sent bytes that nobody asked for', async () => {
  let count = 0;
  const behaviour: Behaviour = (socket, id) => {
    count += 1;
    socket.write(whole(count === 1 ? 'another' : id));
  };
  await withServer(behaviour, async (bench, server) => {
    assert.is((await bench.run('r-1')).kind, 'failed');
    assert.is((await bench.run('r-2')).kind, 'answered');
    assert.is((await bench.run('r-3')).kind, 'answered');
    assert.is(server.connections, 3);
  });
});

test('a connection is used again for the next request', async () => {
  await withServer(
    (socket, id) => socket.write(whole(id)),
    async (bench, server) => {
      await bench.run('r-1');
      await pause(10);
      await bench.run('r-2');
      assert.is(server.connections, 1);
    },
  );
});

// Listeners that stay on a connection after each request take memory, and Node.js calls them all at its end.
test('a connection carries many requests without gathering listeners', async () => {
  const warnings: string[] = [];
  const warned = ({ message }: Error): number => warnings.push(message);
  process.on('warning', warned);
  await withServer(
    (socket, id) => socket.write(whole(id)),
    async (bench, server) => {
      for (let request = 1; request <= 30; request += 1) {
        await bench.run(`r-${request}`);
        await pause(2);
      }
      assert.is(server.connections, 1);
    },
  );
  process.off('warning', warned);
  assert.equal(warnings, []);
});

// The runtime looked for the name of a TLS server in the host field and tested whether it is an address: two
// expressions for each request, one of which took 3.6 ms of a new process's processor time to compile.
/** Writes parts of an answer as fast as they are read, until the connection is closed. */
function writeForEver(socket: Socket, head: string, part: string): void {
  socket.write(head);
  const writeOn = (): void => {
    if (socket.destroyed) return;
    if (socket.write(part)) setImmediate(writeOn);
    else socket.once('drain', writeOn);
  };
  writeOn();
}

const chunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;
const bytes = 'x'.repeat(16_384);

/** What a server may send without end, by the head and the part that is repeated. */
const endless: readonly (readonly [string, (id: string) => string, string])[] = [
  ['a head', () => 'HTTP/1.1 200 Any\r\n', 'x-more: 1\r\n'],
  ['one line of a head', () => 'HTTP/1.1 200 Any\r\nx-more: ', bytes],
  ['bytes that are no answer', () => '', bytes],
  ['a body in chunks', (id) => answer(id, [signed, 'transfer-encoding: chunked'], ''), chunk],
  ['a body up to the end of the connection', (id) => answer(id, [signed], ''), bytes],
  [
    'a body of an absurd length',
    (id) => answer(id, [signed, 'content-length: 999999999999'], ''),
    bytes,
  ],
  [
    'an extension of a chunk',
    (id) => answer(id, [signed, 'transfer-encoding: chunked'], '1;'),
    bytes,
  ],
  ['extra bytes behind an answer', whole, bytes],
];

for (const [name, head, part] of endless) {
  test(`${name} without end ends with the connection, for a request and for a health check`, async () => {
    const behaviour: Behaviour = (socket, id) => {
      writeForEver(socket, head(id), part);
    };
    await withServer(behaviour, async (bench, server) => {
      const before = process.memoryUsage.rss();
      const { kind } = await bench.run('r-1');
      assert.is(kind, head('r-1').endsWith('body') ? 'answered' : 'failed');
      await pause(200);
      assert.is(server.sockets.size, 0);
      assert.ok(process.memoryUsage.rss() - before < 64_000_000);
    });
    const health: Behaviour = (socket) => {
      writeForEver(socket, head('h'), part);
    };
    const isAnswer = head('h').endsWith('body');
    await withHealth(health, async (client, server) => {
      assert.is((await client.health('/health')) === undefined, !isAnswer);
      await pause(200);
      assert.is(server.sockets.size, 0);
    });
  });
}

test('a health answer that comes a byte at a time without end is given up after its time', async () => {
  const behaviour: Behaviour = (socket) => {
    socket.write(answer('h', ['content-length: 9999'], ''));
    const timer = setInterval(() => socket.write('x'), 100);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  await withHealth(behaviour, async (client, server) => {
    const startedAt = performance.now();
    assert.is(await client.health('/health'), undefined);
    assert.ok(performance.now() - startedAt < 1_500);
    await pause(50);
    assert.is(server.sockets.size, 0);
  });
});

test('a request whose answer comes a byte at a time is closed by its abort', async () => {
  const behaviour: Behaviour = (socket, id) => {
    socket.write(answer(id, [signed, 'content-length: 9999'], ''));
    const timer = setInterval(() => socket.write('x'), 20);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  await withServer(behaviour, async (bench, server) => {
    const result = bench.run('r-1');
    await pause(100);
    bench.client.abort(1);
    assert.is((await result).kind, 'failed');
    await pause(50);
    assert.is(server.sockets.size, 0);
  });
});

test('endless answers on several connections fail one by one, and ordinary ones beside them are answered', async () => {
  const behaviour: Behaviour = (socket, id) => {
    if (id.startsWith('endless')) {
      writeForEver(socket, answer(id, [signed, 'transfer-encoding: chunked'], ''), chunk);
    } else socket.write(whole(id));
  };
  await withServer(behaviour, async (bench, server) => {
    const before = process.memoryUsage.rss();
    const failing = Array.from({ length: 6 }, (_, index) => bench.run(`endless-${index}`));
    for (let request = 0; request < 20; request += 1) {
      assert.is((await bench.run(`r-${request}`)).kind, 'answered');
    }
    for (const result of await Promise.all(failing)) assert.is(result.kind, 'failed');
    await pause(200);
    assert.is(server.sockets.size, 0);
    assert.ok(process.memoryUsage.rss() - before < 64_000_000);
  });
});

test('the host field of a request is not tested for an address', async () => {
  const tested: string[] = [];
  const { isIP } = net;
  const server = new RawServer((socket, id) => socket.write(whole(id)));
  const bench = new Bench(await server.listen());
  net.isIP = (input) => {
    tested.push(input);
    return isIP(input);
  };
  try {
    const result = await bench.run('q-1', [['host', 'shop.example']]);
    assert.is(result.kind, 'answered');
  } finally {
    net.isIP = isIP;
    bench.client.close();
    server.close();
  }
  assert.not(tested.includes('shop.example'));
});

test.run();
