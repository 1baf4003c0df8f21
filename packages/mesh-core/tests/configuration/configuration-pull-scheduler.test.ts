import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationHolder, ConfigurationPullScheduler, OfferResult } from '../../src/index.js';
import { createConfiguration } from '../fixtures.js';

test('requests a version from another node only if the store has not delivered it', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('b', 5, true, 0);
  assert.is(scheduler.takeDueSource(4, true, 300), undefined);
  assert.is(scheduler.takeDueSource(4, true, 450), 'b');
  const upToDate = new ConfigurationPullScheduler('a');
  upToDate.onVersionAnnounced('b', 5, true, 0);
  assert.is(upToDate.takeDueSource(5, true, 450), undefined);
});

test('requests the newest version, preferably from a node of the same zone', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('far', 6, false, 0);
  scheduler.onVersionAnnounced('old', 5, true, 0);
  scheduler.onVersionAnnounced('near', 6, true, 0);
  assert.is(scheduler.takeDueSource(4, true, 500), 'near');
});

test('requests from another node if the first does not respond', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('b', 5, true, 0);
  scheduler.onVersionAnnounced('c', 5, false, 0);
  assert.is(scheduler.takeDueSource(4, true, 500), 'b');
  assert.is(scheduler.takeDueSource(4, true, 700), undefined);
  assert.is(scheduler.takeDueSource(4, true, 1_100), 'c');
});

test('requests at once without any configuration, since the store may be unreachable for long', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('b', 5, true, 0);
  scheduler.onVersionAnnounced('c', 5, false, 0);
  assert.is(scheduler.takeDueSource(0, true, 0), 'b');
  assert.is(scheduler.takeDueSource(0, true, 300), undefined);
  assert.is(scheduler.takeDueSource(0, true, 600), 'c');
});

test('requests a newer version at once if this node does not watch the store', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('b', 5, true, 0);
  assert.is(scheduler.takeDueSource(4, false, 0), 'b');
  scheduler.onVersionAnnounced('c', 5, true, 10);
  assert.is(scheduler.takeDueSource(4, false, 400), undefined);
  assert.is(scheduler.takeDueSource(4, false, 550), 'c');
});

// One node of each zone used to send a large configuration to all others over a link of 10 Mbit/s.
test('spreads the requests over the nodes that have the version', () => {
  const asked = new Map<string, number>();
  for (let index = 0; index < 60; index += 1) {
    const scheduler = new ConfigurationPullScheduler(`node-${index}`);
    for (const source of ['b', 'c', 'd']) scheduler.onVersionAnnounced(source, 5, true, 0);
    const node = scheduler.takeDueSource(4, false, 0) ?? '';
    asked.set(node, (asked.get(node) ?? 0) + 1);
  }
  assert.equal([...asked.keys()].sort(), ['b', 'c', 'd']);
  for (const [node, count] of asked) assert.ok(count >= 10, `${node}: ${count} of 60`);
});

test('does not request from a removed node', () => {
  const scheduler = new ConfigurationPullScheduler('a');
  scheduler.onVersionAnnounced('b', 5, true, 0);
  scheduler.removeNode('b');
  assert.is(scheduler.takeDueSource(4, true, 500), undefined);
});

test('never replaces a configuration by an older one', () => {
  const holder = new ConfigurationHolder();
  const content = new Uint8Array();
  assert.is(holder.offer(createConfiguration({ version: 7 }), content), OfferResult.InForce);
  assert.is(holder.offer(createConfiguration({ version: 7 }), content), OfferResult.Same);
  assert.is(
    holder.offer(createConfiguration({ version: 7 }), Buffer.from('other')),
    OfferResult.Differs,
  );
  assert.is(holder.offer(createConfiguration({ version: 3 }), content), OfferResult.Older);
  assert.is(holder.version, 7);
  assert.is(holder.offer(createConfiguration({ version: 12 }), content), OfferResult.InForce);
});

test.run();
