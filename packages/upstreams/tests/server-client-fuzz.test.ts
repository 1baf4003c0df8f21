import type { Socket } from 'node:net';

import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { completeResponse, signed, withServer } from './server-client-harness.js';

// Responses with random changes, as bytes on a socket. Longer by hand: FUZZ_RUNS=20000 node <this file>.

const runs = Number(process.env.FUZZ_RUNS ?? 300);
const body = 'the whole body';
const promiseStatuses = [408, 421, 429, 503];
/** Far above the time of a response; below the request's deadline, which would end it too. */
const timeoutMilliseconds = 1_500;

const framings = {
  chunked: [
    'transfer-encoding: chunked',
    `5\r\n${body.slice(0, 5)}\r\n9\r\n${body.slice(5)}\r\n0\r\n\r\n`,
  ],
  end: ['connection: close', body],
  identity: ['transfer-encoding: identity', body],
  length: [`content-length: ${body.length}`, body],
} as const;

interface Change {
  readonly position: number;
  readonly deleted: number;
  readonly inserted: string;
}

const insertedTexts = fc.oneof(
  fc.string({ maxLength: 4, unit: 'binary-ascii' }),
  fc.constantFrom(
    '\r\n',
    '\n',
    '\0',
    ':',
    'constructor: 1\r\n',
    '__proto__: 1\r\n',
    'content-length: 3\r\n',
    'transfer-encoding: chunked\r\n',
    'transfer-encoding: identity\r\n',
    'connection: x-signature\r\n',
    'HTTP/1.1 100 Continue\r\n\r\n',
    'HTTP/1.1 101 Switching\r\n\r\n',
    'x-not-executed: 1\r\n',
  ),
);
const changes = fc.array(
  fc.record({
    deleted: fc.integer({ max: 12, min: 0 }),
    inserted: insertedTexts,
    position: fc.double({ max: 1, min: 0, noNaN: true }),
  }),
  { maxLength: 3 },
);
const statuses = fc.constantFrom(200, 204, 304, 404, 500, 0, 101, 600, ...promiseStatuses);

function applyChanges(text: string, list: readonly Change[]): string {
  let changed = text;
  for (const { deleted, inserted, position } of list) {
    const at = Math.floor(position * changed.length);
    changed = changed.slice(0, at) + inserted + changed.slice(at + deleted);
  }
  return changed;
}

function endConnection(socket: Socket, isReset: boolean): void {
  if (isReset) socket.resetAndDestroy();
  else socket.end();
}

test('a response with random changes to its head gets one result, and promises nothing of its own', async () => {
  const responses = fc.record({
    changes,
    framing: fc.constantFrom(...Object.values(framings)),
    idempotent: fc.boolean(),
    isReset: fc.boolean(),
    status: statuses,
  });
  await fc.assert(
    fc.asyncProperty(responses, async ({ framing, idempotent, isReset, status, ...options }) => {
      const [field, content] = framing;
      const text = `HTTP/1.1 ${String(status).padStart(3, '0')} Any\r\nx-request-id: r-1\r\n${signed}\r\n${field}\r\n\r\n`;
      const head = applyChanges(text, options.changes);
      await withServer(
        (socket, id) => {
          if (id !== 'r-1') {
            socket.write(completeResponse(id));
            return;
          }
          socket.write(head + content, 'latin1', () => {
            endConnection(socket, isReset);
          });
        },
        async (harness) => {
          const timer = setTimeout(() => {
            throw new Error(`no result for ${JSON.stringify(head)}`);
          }, timeoutMilliseconds);
          const result = await harness.run('r-1', [], 'GET', idempotent);
          clearTimeout(timer);
          if (result.kind === 'not-run') assert.match(head, /x-not-executed/i);
          if (result.kind === 'answered') {
            assert.ok(result.status >= 200 && result.status <= 599);
            assert.ok(idempotent || !promiseStatuses.includes(result.status));
            const signatures = result.headers.filter(([name]) => name === 'x-signature');
            if (result.status < 300) assert.is(signatures.length, 1);
          }
          // The server may have closed a connection on which the next request was sent at the same time.
          const kinds = [(await harness.run('r-2')).kind, (await harness.run('r-3')).kind];
          assert.ok(kinds.includes('answered'), kinds.join());
        },
      );
    }),
    { numRuns: runs },
  );
});

test('a response that is cut off at any byte, by a close or a reset, is answered with its whole body or not at all', async () => {
  const cuts = fc.record({
    cut: fc.double({ max: 1, min: 0, noNaN: true }),
    framing: fc.constantFrom(...Object.values(framings)),
    isTogether: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(cuts, async ({ cut, framing: [field, content], isTogether }) => {
      const head = `HTTP/1.1 200 Any\r\nx-request-id: r-1\r\n${signed}\r\n${field}\r\n\r\n`;
      const text = (head + content).slice(0, Math.floor(cut * (head + content).length));
      await withServer(
        (socket) => {
          if (isTogether) {
            socket.write(text);
            socket.resetAndDestroy();
          } else socket.write(text, () => socket.resetAndDestroy());
        },
        async (harness) => {
          const result = await harness.run('r-1');
          if (result.kind === 'answered') assert.is(Buffer.from(result.body).toString(), body);
        },
      );
    }),
    { numRuns: runs },
  );
});

test.run();
