import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { responseText, signed, withServer } from './server-client-harness.js';
import type { Behaviour } from './server-client-harness.js';

test('the limit that a server states in a response is reported before the result, also for a request it did not run', async () => {
  const limits: Readonly<Record<string, readonly string[]>> = {
    'r-1': ['x-limit: 8.9'],
    'r-2': ['x-limit: 7', 'x-not-executed: full'],
    'r-3': [],
  };
  const behaviour: Behaviour = (socket, id) => {
    const status = id === 'r-2' ? 503 : 200;
    const fields = [signed, 'content-length: 0', ...(limits[id] ?? [])];
    socket.write(responseText(id, fields, '', status));
  };
  await withServer(behaviour, async (harness) => {
    for (const [index, requestsPerSecond] of [8.9, 7, Infinity].entries()) {
      const { kind } = await harness.run(`r-${index + 1}`);
      assert.is(kind, index === 1 ? 'not-run' : 'answered');
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

test.run();
