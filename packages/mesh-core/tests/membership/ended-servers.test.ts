import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EndedServers } from '../../src/index.js';

const minute = 60_000;

test('servers that ended lately are told, each once', () => {
  const ended = new EndedServers();
  ended.note('a', { instanceId: 'i-1', startedAt: 1 }, 0);
  ended.note('a', { instanceId: 'i-1', startedAt: 1 }, 10);
  ended.note('b', { instanceId: 'i-1', startedAt: 2 }, 20);
  assert.equal(ended.recent(100), [
    { instanceId: 'i-1', node: 'a', startedAt: 1 },
    { instanceId: 'i-1', node: 'b', startedAt: 2 },
  ]);
});

test('after a minute no report of a server is under way any more', () => {
  const ended = new EndedServers();
  ended.note('a', { instanceId: 'i-1' }, 0);
  ended.note('b', { instanceId: 'i-2' }, 30_000);
  assert.equal(
    ended.recent(minute).map(({ node }) => node),
    ['b'],
  );
});

test('what a greeting carries is bounded: the newest are kept', () => {
  const ended = new EndedServers();
  for (let count = 0; count < 100; count += 1) {
    ended.note(`node-${count}`, { instanceId: 'i' }, count);
  }
  const recent = ended.recent(200);
  assert.is(recent.length, 16);
  assert.is(recent.at(-1)?.node, 'node-99');
});

test.run();
