import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationHolder, ConfigurationPull, OfferResult } from '../../src/index.js';
import { createConfiguration } from '../fixtures.js';

test('another node is asked only when the store has not brought the version by itself', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('b', 5, true, 0);
  assert.is(pull.due(4, true, 300), undefined);
  assert.is(pull.due(4, true, 450), 'b');
  const served = new ConfigurationPull('a');
  served.heard('b', 5, true, 0);
  assert.is(served.due(5, true, 450), undefined);
});

test('the newest version is asked for, at a near node first', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('far', 6, false, 0);
  pull.heard('old', 5, true, 0);
  pull.heard('near', 6, true, 0);
  assert.is(pull.due(4, true, 500), 'near');
});

test('a node that does not answer is followed by another', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('b', 5, true, 0);
  pull.heard('c', 5, false, 0);
  assert.is(pull.due(4, true, 500), 'b');
  assert.is(pull.due(4, true, 700), undefined);
  assert.is(pull.due(4, true, 1_100), 'c');
});

test('a node without any configuration asks at once: the store may be away for long', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('b', 5, true, 0);
  pull.heard('c', 5, false, 0);
  assert.is(pull.due(0, true, 0), 'b');
  assert.is(pull.due(0, true, 300), undefined);
  assert.is(pull.due(0, true, 600), 'c');
});

test('a node that does not watch the store asks for a newer version at once', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('b', 5, true, 0);
  assert.is(pull.due(4, false, 0), 'b');
  pull.heard('c', 5, true, 10);
  assert.is(pull.due(4, false, 400), undefined);
  assert.is(pull.due(4, false, 550), 'c');
});

// One node of each zone sent a large configuration to all the others, over a link of 10 Mbit/s.
test('those who ask spread over the nodes that have the version', () => {
  const asked = new Map<string, number>();
  for (let index = 0; index < 60; index += 1) {
    const pull = new ConfigurationPull(`node-${index}`);
    for (const source of ['b', 'c', 'd']) pull.heard(source, 5, true, 0);
    const node = pull.due(4, false, 0) ?? '';
    asked.set(node, (asked.get(node) ?? 0) + 1);
  }
  assert.equal([...asked.keys()].sort(), ['b', 'c', 'd']);
  for (const [node, count] of asked) assert.ok(count >= 10, `${node}: ${count} of 60`);
});

test('a node that is gone is not asked', () => {
  const pull = new ConfigurationPull('a');
  pull.heard('b', 5, true, 0);
  pull.forget('b');
  assert.is(pull.due(4, true, 500), undefined);
});

test('an older configuration never replaces a newer one', () => {
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
