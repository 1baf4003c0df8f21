import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { ClientFault, MemoryPlace } from '@peridotspring/mesh-core';
import type { MemoryAccount } from '@peridotspring/mesh-core';
import { createMemoryAccount } from '@peridotspring/mesh-core/fixtures';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DeferredInput, GuardedHttpServer } from '../src/index.js';
import type { ClientLimits } from '../src/index.js';

const limits: ClientLimits = {
  headerBytes: 16_384,
  headerTimeoutMilliseconds: 1_000,
  idleTimeoutMilliseconds: 1_000,
};
const waitTimeoutMilliseconds = 10_000;

interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly fieldCount: number;
  readonly body: string;
}

interface Observed {
  readonly port: number;
  readonly requests: SeenRequest[];
  readonly faults: ClientFault[];
  readonly memory: MemoryAccount;
}

/** Runs a server that answers each request once its body has been read, one at a time on a connection. */
async function withServer(
  run: (observed: Observed) => Promise<void>,
  answer = 'ok',
  memory = createMemoryAccount(),
): Promise<void> {
  const requests: SeenRequest[] = [];
  const faults: ClientFault[] = [];
  const busy = new Set<unknown>();
  const server = new GuardedHttpServer({
    accept: (stream) => ({
      mayParse: (isInBody) => isInBody || !busy.has(stream),
      onFault: (fault) => {
        faults.push(fault);
        stream.destroySoon();
      },
    }),
    bindHost: '127.0.0.1',
    bindPort: 0,
    clock: () => performance.now(),
    deferredInput: new DeferredInput(),
    limits: () => limits,
    memory,
    onRequest: ({ message, response, stream }) => {
      const hold = stream.beginRequest(message, () => undefined);
      busy.add(stream);
      let body = '';
      message.setEncoding('latin1');
      message.on('data', (text: string) => (body += text));
      message.on('end', () => {
        const { method = '', rawHeaders, url = '' } = message;
        requests.push({ body, fieldCount: rawHeaders.length / 2, method, path: url });
        response.end(answer);
      });
      response.once('close', () => {
        hold.release();
        busy.delete(stream);
        stream.onIdle();
        stream.parse();
      });
    },
    place: MemoryPlace.OperatorRequest,
  });
  const port = await server.listen();
  try {
    await run({ faults, memory, port, requests });
  } finally {
    await server.close();
  }
}

async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const deadline = Date.now() + waitTimeoutMilliseconds;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`condition did not hold in time: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

function open(port: number): Socket {
  const socket = connect({ host: '127.0.0.1', noDelay: true, port });
  socket.on('error', () => undefined);
  socket.resume();
  return socket;
}

async function writePieces(
  socket: Socket,
  text: string,
  lengths: readonly number[],
): Promise<void> {
  let position = 0;
  for (let index = 0; position < text.length; index += 1) {
    const length = lengths[index % lengths.length] ?? text.length;
    socket.write(text.slice(position, position + length), 'latin1');
    position += length;
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const requestArbitrary = fc.record({
  body: fc.oneof(
    fc.constant(''),
    fc.string({ maxLength: 300, unit: fc.constantFrom('a', '\r', '\n', '\r\n\r\n', 'GET / ') }),
    fc.constant('x\r\n\r\n'.repeat(20_000)),
  ),
  chunkBytes: fc.constantFrom(0, 1, 7, 5_000),
  emptyLines: fc.integer({ max: 3, min: 0 }),
  fields: fc.constantFrom(0, 1, 70, 1_200),
});

function encode(
  {
    body,
    chunkBytes,
    emptyLines,
    fields,
  }: typeof requestArbitrary extends fc.Arbitrary<infer T> ? T : never,
  index: number,
): string {
  const lines = Array.from({ length: fields }, (_, field) => `x${field}: 1`);
  const head = [`POST /${index} HTTP/1.1`, 'Host: a', ...lines];
  if (chunkBytes === 0) {
    head.push(`Content-Length: ${body.length}`);
    return `${'\r\n'.repeat(emptyLines)}${head.join('\r\n')}\r\n\r\n${body}`;
  }
  head.push('Transfer-Encoding: chunked');
  let chunks = '';
  for (let start = 0; start < body.length; start += chunkBytes) {
    const chunk = body.slice(start, start + chunkBytes);
    chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  }
  return `${'\r\n'.repeat(emptyLines)}${head.join('\r\n')}\r\n\r\n${chunks}0\r\n\r\n`;
}

// Guards against requests that are changed, joined or lost because the parser gets them in slices.
test('requests behind each other arrive unchanged, however they are cut into pieces', async () => {
  await withServer(async ({ faults, port, requests }) => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(requestArbitrary, { maxLength: 4, minLength: 1 }),
        fc.array(fc.constantFrom(1, 2, 3, 50, 1_000, 70_000), { maxLength: 4, minLength: 1 }),
        async (sent, lengths) => {
          requests.length = 0;
          const socket = open(port);
          const text = sent.map(encode).join('');
          // Long texts would take many writes in pieces of a byte.
          const shortest = Math.ceil(text.length / 2_000);
          await writePieces(
            socket,
            text,
            lengths.map((length) => Math.max(length, shortest)),
          );
          await waitUntil(() => requests.length >= sent.length, 'all requests have arrived');
          socket.destroy();
          assert.equal(
            requests.map(({ body, method, path }) => ({ body, method, path })),
            sent.map(({ body }, index) => ({ body, method: 'POST', path: `/${index}` })),
          );
          assert.equal(
            requests.map(({ fieldCount }) => fieldCount),
            sent.map(({ fields }) => fields + 2),
          );
        },
      ),
      { numRuns: 60, seed: 50 },
    );
    assert.equal(faults, []);
  });
});

// Guards against memory that is held for connections, heads and unparsed input after they have gone.
test('the memory of connections is given back, whatever they were in the middle of', async () => {
  await withServer(async ({ memory, port, requests }) => {
    const texts = [
      '',
      'GET / HT',
      'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(50),
      'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc',
      'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n',
      'no request\r\n\r\n',
    ];
    const sockets = texts.map((text) => {
      const socket = open(port);
      socket.write(text);
      return socket;
    });
    await waitUntil(() => requests.length > 0, 'a request has arrived');
    assert.ok(memory.heldBytes > 0);
    for (const socket of sockets) socket.destroy();
    await waitUntil(() => memory.heldBytes === 0, 'the account is empty');
  });
});

// Guards against connections that are kept busy without a request.
for (const [name, text, expectedFault] of [
  ['a head without end', 'GET / HTTP/1.1\r\nx: ', ClientFault.HeadLate],
  ['empty lines without end', '', ClientFault.Idle],
] as const) {
  test(`${name}, a little at a time, ends in the time for it`, async () => {
    await withServer(async ({ faults, port }) => {
      const socket = open(port);
      socket.write(text);
      const timer = setInterval(() => socket.write(text === '' ? '\r\n' : 'x'), 50);
      await waitUntil(() => socket.destroyed, 'the connection has closed');
      clearInterval(timer);
      assert.equal(faults, [expectedFault]);
    });
  });

  test(`${name}, as fast as possible, ends after some bytes`, async () => {
    await withServer(async ({ faults, port }) => {
      const socket = open(port);
      socket.write(text);
      const piece = text === '' ? '\r\n'.repeat(5_000) : 'x'.repeat(10_000);
      for (let count = 0; count < 3; count += 1) socket.write(piece);
      await waitUntil(() => socket.destroyed, 'the connection has closed');
      assert.equal(faults, [ClientFault.HeadTooLong]);
    });
  });
}

// Guards against answers that stay in memory for as long as a client likes.
test('a connection whose answer is not read closes after the idle time', async () => {
  await withServer(async ({ faults, memory, port }) => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.on('error', () => undefined);
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitUntil(() => faults.length > 0, 'the fault was seen');
    assert.equal(faults, [ClientFault.AnswerNotRead]);
    await waitUntil(() => memory.heldBytes === 0, 'the account is empty');
    socket.destroy();
  }, 'x'.repeat(20_000_000));
});

// Guards against input that is held although it has no room.
test('without memory, nothing is parsed and the connection closes', async () => {
  await withServer(
    async ({ faults, port, requests }) => {
      const socket = open(port);
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      await waitUntil(() => socket.destroyed, 'the connection has closed');
      assert.equal(requests, []);
      assert.equal(faults, [ClientFault.NoMemory]);
    },
    'ok',
    createMemoryAccount(20_000),
  );
});

test.run();
