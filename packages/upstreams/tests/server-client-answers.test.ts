import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  injected,
  responseText,
  signed,
  withHealthServer,
  withServer,
} from './server-client-harness.js';
import type { Behaviour } from './server-client-harness.js';

// Which responses count as the server's own answer, as bytes on a socket.

function rawResponse(requestId: string, statusDigits: string): string {
  const text = responseText(requestId, [signed, 'content-length: 4'], 'body');
  return text.replace(/^HTTP\/1\.1 \d+/, `HTTP/1.1 ${statusDigits}`);
}

// Guards against a wrong digit in a status, which ended the process of the node at which the request began.
for (const statusDigits of ['000', '001', '099', '600', '999']) {
  test(`a response with the status ${statusDigits} is no answer, and no sign of a lost connection`, async () => {
    const behaviour: Behaviour = (socket, id) => socket.write(rawResponse(id, statusDigits));
    await withServer(behaviour, async (harness) => {
      const result = await harness.run('r-1');
      assert.is(result.kind, 'failed');
      assert.ok(result.kind === 'failed' && result.isConnectionLost !== true);
    });
  });
}

// Guards against an interim status as the last response to a request: its caller got a head and never an answer.
test('a response with the status 101 that no upgrade follows is no answer', async () => {
  const behaviour: Behaviour = (socket, id) => socket.write(rawResponse(id, '101'));
  await withServer(behaviour, async (harness) => {
    assert.is((await harness.run('r-1')).kind, 'failed');
  });
});

test('a switch of protocols that nobody asked for is no answer', async () => {
  const fields = [signed, 'connection: upgrade', 'upgrade: x'];
  const behaviour: Behaviour = (socket, id) => socket.write(responseText(id, fields, '', 101));
  await withServer(behaviour, async (harness) => {
    assert.is((await harness.run('r-1')).kind, 'failed');
  });
});

test('a few interim responses precede an answer, and more than that end the connection', async () => {
  for (const [count, kind] of [
    [3, 'answered'],
    [16, 'answered'],
    [17, 'failed'],
    [100_000, 'failed'],
  ] as const) {
    const behaviour: Behaviour = (socket, id) => {
      socket.write('HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'.repeat(count));
      socket.write(rawResponse(id, '200'));
    };
    await withServer(behaviour, async (harness) => {
      assert.is((await harness.run('r-1')).kind, kind, `${count} interim responses`);
    });
  }
});

for (const status of [200, 206, 299, 404, 418, 499, 500, 599]) {
  test(`a signed response with the status ${status} is passed on unchanged`, async () => {
    const fields = [signed, 'x-odd_~name!: odd; value', 'content-length: 4'];
    const behaviour: Behaviour = (socket, id) =>
      socket.write(responseText(id, fields, 'body', status));
    await withServer(behaviour, async (harness) => {
      const result = await harness.run('r-1');
      assert.ok(result.kind === 'answered', result.kind);
      assert.is(result.status, status);
      assert.is(Buffer.from(result.body).toString(), 'body');
      assert.ok(result.headers.some(([name]) => name === 'x-odd_~name!'));
    });
  });
}

// Guards against a promise to the caller that its request has not run, without a statement of the server.
for (const status of [408, 421, 429, 503]) {
  for (const fields of [[], [signed]]) {
    test(`a bare ${status} with ${fields.length} signatures is no refusal of a request that is not idempotent`, async () => {
      const behaviour: Behaviour = (socket, id) =>
        socket.write(responseText(id, [...fields, 'content-length: 0'], '', status));
      await withServer(behaviour, async (harness) => {
        assert.is((await harness.run('r-1', [], 'POST', false)).kind, 'failed');
      });
    });
  }
}

test('a success with two signatures, an empty one, or one that belongs to its connection only is no answer', async () => {
  for (const fields of [[signed, signed], ['x-signature:'], [signed, 'connection: x-signature']]) {
    const behaviour: Behaviour = (socket, id) =>
      socket.write(responseText(id, [...fields, 'content-length: 4'], 'body'));
    await withServer(behaviour, async (harness) => {
      assert.is((await harness.run('r-1')).kind, 'failed', fields.join());
    });
  }
});

test('an error while the head of a response is read fails that request and closes its connection', async () => {
  const behaviour: Behaviour = (socket, id) => socket.write(rawResponse(id, '200'));
  await withServer(behaviour, async (harness, server) => {
    injected.headError = true;
    assert.is((await harness.run('r-1')).kind, 'failed');
    injected.headError = false;
    assert.is(harness.containedErrors.length, 1);
    assert.is((await harness.run('r-2')).kind, 'answered');
    assert.is(server.connections, 2);
  });
});

test('an error while a response is read fails that request only', async () => {
  const behaviour: Behaviour = (socket, id) => {
    const load = id === 'r-1' ? 'throw' : '1';
    socket.write(responseText(id, [signed, `x-load: ${load}`, 'content-length: 4'], 'body'));
  };
  await withServer(behaviour, async (harness) => {
    assert.is((await harness.run('r-1')).kind, 'failed');
    assert.equal(
      harness.containedErrors.map(({ message }) => message),
      ['injected'],
    );
    assert.is((await harness.run('r-2')).kind, 'answered');
  });
});

test('an error while the response to a health check is read fails that check only', async () => {
  const behaviour: Behaviour = (socket) =>
    socket.write('HTTP/1.1 200 OK\r\nx-cold-remaining: throw\r\ncontent-length: 0\r\n\r\n');
  await withHealthServer(behaviour, async ({ client, containedErrors }) => {
    assert.is(await client.health('/health'), undefined);
    assert.is(containedErrors.length, 1);
  });
});

test.run();
