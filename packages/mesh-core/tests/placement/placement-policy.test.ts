import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PlacementPolicy, GateTable } from '../../src/index.js';
import type { GateLoad, MeshNode } from '../../src/index.js';
import { createLoad, createNode } from '../fixtures.js';

const ownLocation = { availabilityZone: 'zone-a', region: 'region-1' };
const otherZone: Partial<MeshNode> = { availabilityZone: 'zone-b' };

type Gate = readonly [name: string, load: Partial<GateLoad>, location?: Partial<MeshNode>];

/** Title, gates, kilobytes of a request with its answer, and the gate that is chosen. */
const cases: readonly (readonly [string, readonly Gate[], number, string])[] = [
  [
    'an idle gate rather than one with a queue',
    [
      ['a', { running: 4, waitMilliseconds: 100, waiting: 3 }],
      ['b', {}],
    ],
    1,
    'b',
  ],
  [
    'the less used gate',
    [
      ['a', { running: 3 }],
      ['b', { running: 1 }],
    ],
    1,
    'b',
  ],
  [
    'the own zone when both gates have free slots',
    [
      ['a', {}, otherZone],
      ['b', { running: 1 }],
    ],
    1,
    'b',
  ],
  [
    'another zone when the wait in the own zone is long',
    [
      ['a', {}, otherZone],
      ['b', { running: 4, waitMilliseconds: 125, waiting: 4 }],
    ],
    1,
    'a',
  ],
  [
    'the own zone despite a short wait when the answer is large',
    [
      ['a', {}, otherZone],
      ['b', { running: 4, waitMilliseconds: 25, waiting: 0 }],
    ],
    12,
    'b',
  ],
  [
    'a gate whose server answers rather than one that fails half of its requests',
    [
      ['a', { failureShare: 0.5 }],
      ['b', { running: 4, waiting: 2 }],
    ],
    1,
    'b',
  ],
  [
    'a gate at its usual speed rather than one with a slowdown',
    [
      ['a', { slowdown: 5 }],
      ['b', { running: 3 }],
    ],
    1,
    'b',
  ],
  [
    'a faster server',
    [
      ['a', { serviceMilliseconds: 500 }],
      ['b', { running: 2 }],
    ],
    1,
    'b',
  ],
  [
    'no gate whose server drains',
    [
      ['a', { state: 'draining' }],
      ['b', { running: 4, waiting: 9 }],
    ],
    1,
    'b',
  ],
];

for (const [title, gates, kilobytes, expected] of cases) {
  test(`chooses ${title}`, () => {
    const table = new GateTable();
    for (const [gateName, changes, location] of gates)
      table.onConnected(createNode(gateName, location), createLoad(changes), 0);
    const policy = new PlacementPolicy({ ...ownLocation, random: new SeededRandomSource(1) });
    const choice = policy.choose(table.readyGates('shop'), {
      excludedNodes: new Set(),
      kilobytes,
      now: 0,
      routeName: 'lookup',
      targetMilliseconds: 400,
    });
    assert.is(choice?.view.node.name, expected);
  });
}

test('a large answer leaves its zone for a short wait if the operator sets no cost for it', () => {
  const table = new GateTable();
  table.onConnected(createNode('a', otherZone), createLoad(), 0);
  table.onConnected(createNode('b'), createLoad({ running: 4, waitMilliseconds: 25 }), 0);
  const random = new SeededRandomSource(1);
  const policy = new PlacementPolicy({ ...ownLocation, otherZoneCostPerKilobyte: 0, random });
  const choice = policy.choose(table.readyGates('shop'), {
    excludedNodes: new Set(),
    kilobytes: 12,
    now: 0,
    routeName: 'lookup',
    targetMilliseconds: 400,
  });
  assert.is(choice?.view.node.name, 'a');
});

test('requests sent since the last load report count, so that a burst is spread over the gates', () => {
  const table = new GateTable();
  for (const name of ['a', 'b', 'c']) table.onConnected(createNode(name), createLoad(), 0);
  const policy = new PlacementPolicy({ ...ownLocation, random: new SeededRandomSource(1) });
  const counts = new Map<string, number>();
  for (let request = 0; request < 12; request += 1) {
    const choice = policy.choose(table.readyGates('shop'), {
      excludedNodes: new Set(),
      kilobytes: 1,
      now: 0,
      routeName: 'lookup',
      targetMilliseconds: 400,
    });
    const name = choice?.view.node.name ?? '';
    table.onRequestSent(name);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  assert.equal([...counts.values()], [4, 4, 4]);
});

test('one of several equal gates is chosen at random, so that nodes with the same view differ', () => {
  const chosen = new Set<string | undefined>();
  for (let seed = 0; seed < 20; seed += 1) {
    const table = new GateTable();
    for (const name of ['a', 'b', 'c']) table.onConnected(createNode(name), createLoad(), 0);
    const policy = new PlacementPolicy({ ...ownLocation, random: new SeededRandomSource(seed) });
    const context = {
      excludedNodes: new Set<string>(),
      kilobytes: 1,
      now: 0,
      routeName: 'lookup',
      targetMilliseconds: 400,
    };
    chosen.add(policy.choose(table.readyGates('shop'), context)?.view.node.name);
  }
  assert.is(chosen.size, 3);
});

test('gates that are excluded, not connected or of another service are not chosen', () => {
  const table = new GateTable();
  table.onConnected(createNode('a'), createLoad(), 0);
  table.onConnected(createNode('b'), createLoad(), 0);
  table.onConnected(createNode('c', { service: 'cart' }), createLoad(), 0);
  table.onDisconnected('b');
  const policy = new PlacementPolicy({ ...ownLocation, random: new SeededRandomSource(1) });
  const context = {
    excludedNodes: new Set(['a']),
    kilobytes: 1,
    now: 0,
    routeName: 'lookup',
    targetMilliseconds: 400,
  };
  assert.is(policy.choose(table.readyGates('shop'), context), undefined);
});

test.run();
