import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LoadAnnouncer } from '../../src/index.js';
import { createLoad } from '../fixtures.js';

test('nodes that send requests are told of a change, near ones sooner', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  announcer.requested('far', false, 0);
  assert.equal(announcer.due(createLoad({ running: 1 }), 10), []);
  assert.equal(announcer.due(createLoad({ running: 1 }), 40), ['near']);
  assert.equal(announcer.due(createLoad({ running: 1 }), 300), ['far']);
});

test('nothing is told twice, and nothing that a reply told already', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  announcer.told('near', createLoad({ running: 2 }), 0);
  assert.equal(announcer.due(createLoad({ running: 2 }), 100), []);
  assert.equal(announcer.due(createLoad({ running: 3 }), 100), ['near']);
  assert.equal(announcer.due(createLoad({ running: 3 }), 200), []);
});

test('a node that sends no more requests costs no more messages', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('near', true, 0);
  assert.equal(announcer.due(createLoad({ running: 1 }), 4_000), []);
});

// In a fleet of 74 nodes, nodes that use a gate every few seconds made up most of those that were told.
test('a node is told for a second after its last request', () => {
  const announcer = new LoadAnnouncer();
  announcer.requested('seldom', true, 0);
  announcer.requested('often', true, 300);
  assert.equal(announcer.due(createLoad({ running: 1 }), 1_200), ['often']);
  announcer.requested('seldom', true, 1_300);
  assert.equal(announcer.due(createLoad({ running: 2 }), 1_400), ['seldom']);
});

/** Reports of a gate whose load changes all the time, in four seconds after the first ones. */
function reportsUnderLoad(nearNodes: number, farNodes: number): number {
  const announcer = new LoadAnnouncer();
  let reports = 0;
  for (let now = 0; now <= 5_000; now += 10) {
    for (let node = 0; node < nearNodes + farNodes; node += 1) {
      announcer.requested(`node-${node}`, node < nearNodes, now);
    }
    const due = announcer.due(createLoad({ running: now % 70 }), now);
    if (now > 1_000) reports += due.length;
  }
  return reports;
}

// Each change was told to each near node, so the reports between nodes grew with the square of their number.
test('the reports under load do not grow with the number of nodes', () => {
  const small = reportsUnderLoad(5, 10);
  for (const [near, far] of [
    [20, 40],
    [40, 120],
  ] as const) {
    const large = reportsUnderLoad(near, far);
    assert.ok(large <= small * 1.1, `${large} reports to ${near + far} nodes, ${small} to 15`);
  }
});

test('a server that turns slow or stops taking requests is told soon, whatever the number of nodes', () => {
  const announcer = new LoadAnnouncer();
  for (let index = 0; index < 40; index += 1) announcer.requested(`near-${index}`, true, 0);
  assert.is(announcer.due(createLoad({ running: 1 }), 240).length, 40);
  assert.is(announcer.due(createLoad({ running: 2 }), 280).length, 0);
  assert.is(announcer.due(createLoad({ running: 2, slowdown: 5 }), 290).length, 40);
  assert.is(
    announcer.due(createLoad({ running: 2, slowdown: 5, state: 'draining' }), 330).length,
    40,
  );
});

test.run();
