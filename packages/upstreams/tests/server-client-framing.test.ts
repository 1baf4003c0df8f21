import type { Socket } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  completeResponse,
  responseText,
  signed,
  sleep,
  withServer,
} from './server-client-harness.js';
import type { Behaviour } from './server-client-harness.js';

// Where a response begins and ends, and which request it belongs to.

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

const identity = 'transfer-encoding: identity';

/** Ends of a connection in the middle or at the end of a body that only the end of the connection marks. */
const connectionEnds: readonly (readonly [
  string,
  (socket: Socket, text: string) => void,
  string,
])[] = [
  ['closed', (socket, text) => socket.end(text), 'answered'],
  [
    'reset together with the last bytes',
    (socket, text) => {
      socket.write(text);
      socket.resetAndDestroy();
    },
    'failed',
  ],
  [
    'reset after the last bytes',
    (socket, text) => {
      socket.write(text, () => socket.resetAndDestroy());
    },
    'failed',
  ],
  [
    'reset later',
    (socket, text) => {
      socket.write(text);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    'failed',
  ],
];

// Guards against a reset that counts as the end of a body: its caller got half of the body as a success.
for (const [name, end, expected] of connectionEnds) {
  for (const field of [identity, 'transfer-encoding: Identity', 'x-framing: none']) {
    test(`a response with ${field} whose connection is ${name} is ${expected}`, async () => {
      for (let attempt = 0; attempt < 20; attempt += 1) {
        const behaviour: Behaviour = (socket, id) => {
          end(socket, responseText(id, [signed, field, 'connection: close'], 'x'.repeat(attempt)));
        };
        await withServer(behaviour, async (harness) => {
          assert.is((await harness.run('r-1')).kind, expected, `attempt ${attempt}`);
        });
      }
    });
  }
}

test('a chunked response may name the coding identity before it', async () => {
  const behaviour: Behaviour = (socket, id) =>
    socket.write(
      responseText(id, [signed, 'transfer-encoding: identity, chunked'], '4\r\nbody\r\n0\r\n\r\n'),
    );
  await withServer(behaviour, async (harness) => {
    const result = await harness.run('r-1');
    assert.is(result.kind === 'answered' && Buffer.from(result.body).toString(), 'body');
  });
});

for (const coding of ['gzip', 'gzip, chunked', 'chunked, gzip', 'chunked, identity', 'chunkedx']) {
  test(`a response with the transfer coding ${coding} is no answer`, async () => {
    const behaviour: Behaviour = (socket, id) =>
      socket.end(
        responseText(id, [signed, `transfer-encoding: ${coding}`], '4\r\nbody\r\n0\r\n\r\n'),
      );
    await withServer(behaviour, async (harness) => {
      assert.is((await harness.run('r-1')).kind, 'failed');
    });
  });
}

// Guards against responses that lose the fields after the thousandth and are passed on as whole ones.
test('a response has all of its header fields, however many they are', async () => {
  const fields = Array.from({ length: 1_200 }, (_, index) => `x${index}: 1`);
  const behaviour: Behaviour = (socket, id) =>
    socket.write(responseText(id, [...fields, signed, 'content-length: 4'], 'body'));
  await withServer(behaviour, async (harness) => {
    const result = await harness.run('r-1');
    assert.is(result.kind, 'answered');
    const count = result.kind === 'answered' ? result.headers.length : 0;
    assert.ok(count >= fields.length + 1, `${count} fields`);
  });
});

test.run();
