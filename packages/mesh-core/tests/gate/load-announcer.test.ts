import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LoadAnnouncer } from '../../src/index.js';
import { load } from '../fixtures.js';

test('nodes that send requests are told of a change, near ones sooner', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  announcer.requested('far', false, 0);
  assert.equal(announcer.due(load({ running: 1 }), 10), []);
  assert.equal(announcer.due(load({ running: 1 }), 40), ['near']);
  assert.equal(announcer.due(load({ running: 1 }), 300), ['far']);
});

test('nothing is told twice, and nothing that a reply told already', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  announcer.told('near', load({ running: 2 }), 0);
  assert.equal(announcer.due(load({ running: 2 }), 100), []);
  assert.equal(announcer.due(load({ running: 3 }), 100), ['near']);
  assert.equal(announcer.due(load({ running: 3 }), 200), []);
});

test('a node that sends no more requests costs no more messages', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  assert.equal(announcer.due(load({ running: 1 }), 4_000), []);
});

test.run();
