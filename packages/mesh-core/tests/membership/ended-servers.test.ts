import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EndedServers } from '../../src/index.js';

const minuteMilliseconds = 60_000;

test('each recently ended server is listed once', () => {
  const endedServers = new EndedServers();
  endedServers.record('a', { instanceId: 'i-1', startedAt: 1 }, 0);
  endedServers.record('a', { instanceId: 'i-1', startedAt: 1 }, 10);
  endedServers.record('b', { instanceId: 'i-1', startedAt: 2 }, 20);
  assert.equal(endedServers.listRecent(100), [
    { instanceId: 'i-1', node: 'a', startedAt: 1 },
    { instanceId: 'i-1', node: 'b', startedAt: 2 },
  ]);
});

test('a server is listed for a minute; no report of it is in transit after that', () => {
  const endedServers = new EndedServers();
  endedServers.record('a', { instanceId: 'i-1' }, 0);
  endedServers.record('b', { instanceId: 'i-2' }, 30_000);
  assert.equal(
    endedServers.listRecent(minuteMilliseconds).map(({ node }) => node),
    ['b'],
  );
});

test('the number of listed servers is bounded, and the newest are kept', () => {
  const endedServers = new EndedServers();
  for (let count = 0; count < 100; count += 1) {
    endedServers.record(`node-${count}`, { instanceId: 'i' }, count);
  }
  const recent = endedServers.listRecent(200);
  assert.is(recent.length, 16);
  assert.is(recent.at(-1)?.node, 'node-99');
});

test.run();
