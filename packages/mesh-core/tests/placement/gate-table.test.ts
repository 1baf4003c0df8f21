import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateTable } from '../../src/index.js';
import type { GateLoad, MeshNode } from '../../src/index.js';
import { createLoad, createNode } from '../fixtures.js';

type Gate = readonly [name: string, node: Partial<MeshNode>, load: Partial<GateLoad>];

const gates: readonly Gate[] = [
  ['a', { availabilityZone: 'zone-a', region: 'west' }, {}],
  ['b', { availabilityZone: 'zone-b', region: 'west' }, {}],
  ['c', { availabilityZone: 'zone-c', region: 'east' }, {}],
  ['d', { availabilityZone: 'zone-d', region: 'north' }, { state: 'evacuated' }],
  ['e', { availabilityZone: 'zone-d', region: 'north' }, {}],
  ['f', { availabilityZone: 'zone-a', region: 'west', service: 'other' }, {}],
];

/** Title, evacuated zones, home regions of the route, and the gates that may get its requests. */
const cases: readonly (readonly [
  string,
  readonly string[],
  readonly string[] | undefined,
  string,
])[] = [
  ['all ready gates of the service', [], undefined, 'abce'],
  ['none in an evacuated zone, whatever their own report', ['zone-a', 'zone-d'], undefined, 'bc'],
  [
    'none if all zones of the service are evacuated',
    ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    undefined,
    '',
  ],
  ['those in the home region of the route', [], ['west'], 'ab'],
  ['those in several home regions', [], ['east', 'north'], 'ce'],
  ['none if the home region is evacuated, rather than one abroad', ['zone-c'], ['east'], ''],
  ['all for an evacuated zone that nobody knows', ['zone-x'], undefined, 'abce'],
];

for (const [title, evacuatedZones, homeRegions, expected] of cases) {
  test(`offers ${title}`, () => {
    const table = new GateTable();
    for (const [name, node, load] of gates)
      table.onConnected(createNode(name, node), createLoad(load), 0);
    table.setEvacuatedZones(evacuatedZones);
    const names = [...table.readyGates('shop', homeRegions)].map(({ node }) => node.name);
    assert.is(names.join(''), expected);
  });
}

test('offers a gate whose connection may be silent only if there is no other', () => {
  const table = new GateTable();
  for (const name of ['a', 'b']) table.onConnected(createNode(name), createLoad(), 0);
  const offered = (): string => [...table.readyGates('shop')].map(({ node }) => node.name).join('');
  table.setSuspected('a', true);
  assert.is(offered(), 'b');
  table.setSuspected('b', true);
  assert.is(offered(), 'ab');
  table.setSuspected('a', false);
  assert.is(offered(), 'a');
  table.onConnected(createNode('b'), createLoad(), 10);
  assert.is(offered(), 'ab');
});

test.run();
