import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LoadAnnouncer } from '../../src/index.js';
import { createLoad } from '../fixtures.js';

test('reports changes to nodes that send requests, sooner to those in the same zone', () => {
  const announcer = new LoadAnnouncer();
  announcer.onRequest('near', true, 0);
  announcer.onRequest('far', false, 0);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 1 }), 10), []);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 1 }), 40), ['near']);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 1 }), 300), ['far']);
});

test('does not report a load twice, nor one that a reply has carried', () => {
  const announcer = new LoadAnnouncer();
  announcer.onRequest('near', true, 0);
  announcer.onReplySent('near', createLoad({ running: 2 }), 0);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 2 }), 100), []);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 3 }), 100), ['near']);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 3 }), 200), []);
});

test('sends no reports to a node that has stopped sending requests', () => {
  const announcer = new LoadAnnouncer();
  announcer.onRequest('near', true, 0);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 1 }), 4_000), []);
});

// In a fleet of 74 nodes, most of the nodes that received reports used the gate only every few seconds.
test('reports to a node for one second after its last request', () => {
  const announcer = new LoadAnnouncer();
  announcer.onRequest('seldom', true, 0);
  announcer.onRequest('often', true, 300);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 1 }), 1_200), ['often']);
  announcer.onRequest('seldom', true, 1_300);
  assert.equal(announcer.takeDueNodes(createLoad({ running: 2 }), 1_400), ['seldom']);
});

/** Number of reports of a gate whose load changes constantly, in the four seconds after the first second. */
function reportsUnderLoad(sameZoneNodes: number, otherZoneNodes: number): number {
  const announcer = new LoadAnnouncer();
  let reports = 0;
  for (let now = 0; now <= 5_000; now += 10) {
    for (let node = 0; node < sameZoneNodes + otherZoneNodes; node += 1) {
      announcer.onRequest(`node-${node}`, node < sameZoneNodes, now);
    }
    const due = announcer.takeDueNodes(createLoad({ running: now % 70 }), now);
    if (now > 1_000) reports += due.length;
  }
  return reports;
}

// Each change used to be reported to each node of the zone, so the reports grew with the square of their number.
test('sends no more reports under load when there are more nodes', () => {
  const small = reportsUnderLoad(5, 10);
  for (const [sameZone, otherZones] of [
    [20, 40],
    [40, 120],
  ] as const) {
    const large = reportsUnderLoad(sameZone, otherZones);
    assert.ok(
      large <= small * 1.1,
      `${large} reports to ${sameZone + otherZones} nodes, ${small} to 15`,
    );
  }
});

test('reports a slowdown or a drain at the minimum interval, whatever the number of nodes', () => {
  const announcer = new LoadAnnouncer();
  for (let index = 0; index < 40; index += 1) announcer.onRequest(`near-${index}`, true, 0);
  assert.is(announcer.takeDueNodes(createLoad({ running: 1 }), 240).length, 40);
  assert.is(announcer.takeDueNodes(createLoad({ running: 2 }), 280).length, 0);
  assert.is(announcer.takeDueNodes(createLoad({ running: 2, slowdown: 5 }), 290).length, 40);
  assert.is(
    announcer.takeDueNodes(createLoad({ running: 2, slowdown: 5, state: 'draining' }), 330).length,
    40,
  );
});

test.run();
