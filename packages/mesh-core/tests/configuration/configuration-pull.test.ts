import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationHolder, ConfigurationPull } from '../../src/index.js';
import { configuration } from '../fixtures.js';

test('another node is asked only when the store has not brought the version by itself', () => {
  const pull = new ConfigurationPull();
  pull.heard('b', 5, true, 0);
  assert.is(pull.due(4, 300), undefined);
  assert.is(pull.due(4, 450), 'b');
  const served = new ConfigurationPull();
  served.heard('b', 5, true, 0);
  assert.is(served.due(5, 450), undefined);
});

test('the newest version is asked for, at a near node first', () => {
  const pull = new ConfigurationPull();
  pull.heard('far', 6, false, 0);
  pull.heard('old', 5, true, 0);
  pull.heard('near', 6, true, 0);
  assert.is(pull.due(4, 500), 'near');
});

test('a node that does not answer is followed by another', () => {
  const pull = new ConfigurationPull();
  pull.heard('b', 5, true, 0);
  pull.heard('c', 5, false, 0);
  assert.is(pull.due(4, 500), 'b');
  assert.is(pull.due(4, 700), undefined);
  assert.is(pull.due(4, 1_100), 'c');
});

test('a node without any configuration asks at once: the store may be away for long', () => {
  const pull = new ConfigurationPull();
  pull.heard('b', 5, true, 0);
  pull.heard('c', 5, false, 0);
  assert.is(pull.due(0, 0), 'b');
  assert.is(pull.due(0, 300), undefined);
  assert.is(pull.due(0, 600), 'c');
});

test('a node that is gone is not asked', () => {
  const pull = new ConfigurationPull();
  pull.heard('b', 5, true, 0);
  pull.forget('b');
  assert.is(pull.due(4, 500), undefined);
});

test('an older configuration never replaces a newer one', () => {
  const holder = new ConfigurationHolder();
  const content = new Uint8Array();
  assert.ok(holder.offer(configuration({ version: 7 }), content));
  assert.not(holder.offer(configuration({ version: 7 }), content));
  assert.not(holder.offer(configuration({ version: 3 }), content));
  assert.is(holder.version, 7);
  assert.ok(holder.offer(configuration({ version: 12 }), content));
});

test.run();
