import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { WatchDuty } from '../../src/index.js';
import type { MeshNode } from '../../src/index.js';
import { createNode } from '../fixtures.js';

const names = Array.from({ length: 40 }, (_, index) => `node-${index}`);
const zones = ['zone-a', 'zone-b'];
const fleet: readonly MeshNode[] = names.map((name, index) => ({
  ...createNode(name),
  availabilityZone: zones[index % zones.length] ?? '',
}));
const settledMilliseconds = 1_000;

/** The duty of each node, all of them connected. */
function connectedFleet(nodes = fleet): ReadonlyMap<string, WatchDuty> {
  return new Map(
    nodes.map((self) => {
      const duty = new WatchDuty(self);
      for (const peer of nodes) if (peer.name !== self.name) duty.connected(peer, true);
      duty.evaluate(0);
      return [self.name, duty];
    }),
  );
}

function watchersOf(duties: ReadonlyMap<string, WatchDuty>, now: number): readonly string[] {
  return [...duties].filter(([, duty]) => duty.evaluate(now)).map(([name]) => name);
}

function zoneOf(name: string): string {
  return fleet.find((one) => one.name === name)?.availabilityZone ?? '';
}

test('two nodes of each availability zone watch, whatever the size of the fleet', () => {
  for (const size of [4, 10, 40]) {
    const watchers = watchersOf(connectedFleet(fleet.slice(0, size)), settledMilliseconds);
    assert.equal(watchers.map(zoneOf).sort(), ['zone-a', 'zone-a', 'zone-b', 'zone-b']);
  }
});

// At a common start no node is connected yet, and each of them would call the store at once.
test('a node that has just started waits for others before it watches', () => {
  const duty = new WatchDuty(createNode('alone'));
  assert.not(duty.evaluate(0));
  assert.not(duty.evaluate(900));
  assert.ok(duty.evaluate(1_000));
});

test('a reset of all connections does not make every node watch', () => {
  const duties = connectedFleet();
  const watchers = watchersOf(duties, settledMilliseconds);
  for (const duty of duties.values()) for (const name of names) duty.disconnected(name);
  assert.equal(watchersOf(duties, 1_100), watchers);
  for (const [self, duty] of duties) {
    for (const peer of fleet) if (peer.name !== self) duty.connected(peer, true);
  }
  assert.equal(watchersOf(duties, 2_500), watchers);
});

interface Loss {
  readonly name: string;
  /** Takes watchers away from the view of all nodes. */
  readonly lose: (duty: WatchDuty, watcher: string) => void;
}

const losses: readonly Loss[] = [
  {
    lose: (duty, watcher) => {
      duty.disconnected(watcher);
    },
    name: 'can no longer be reached',
  },
  {
    lose: (duty, watcher) => {
      duty.told(watcher, false);
    },
    name: 'lost the store',
  },
];

for (const { lose, name } of losses) {
  test(`others take over after a second from a watcher that ${name}`, () => {
    const duties = new Map(connectedFleet());
    const [lost = ''] = watchersOf(duties, settledMilliseconds);
    const lostDuty = duties.get(lost);
    duties.delete(lost);
    for (const duty of duties.values()) lose(duty, lost);
    lostDuty?.storeReached(false);
    const before = watchersOf(duties, 1_500);
    assert.is(before.length, 3);
    assert.equal(watchersOf(duties, 2_500).map(zoneOf).sort(), [
      'zone-a',
      'zone-a',
      'zone-b',
      'zone-b',
    ]);
  });
}

// All nodes asked a store that was down for its return, and each call is billed.
test('while no node reaches the store, the same nodes wait for its return', () => {
  const duties = connectedFleet();
  const watchers = watchersOf(duties, settledMilliseconds);
  for (const duty of duties.values()) {
    duty.storeReached(false);
    for (const name of names) duty.told(name, false);
  }
  assert.equal(watchersOf(duties, 2_000), watchers);
  assert.equal(watchersOf(duties, 4_000), watchers);
});

test('a node that is cut off from all others watches the store itself', () => {
  const duties = connectedFleet();
  const watchers = new Set(watchersOf(duties, settledMilliseconds));
  const [cut = '', duty] = [...duties].find(([name]) => !watchers.has(name)) ?? [];
  for (const name of names) if (name !== cut) duty?.disconnected(name);
  assert.not(duty?.evaluate(1_500));
  assert.ok(duty?.evaluate(2_500));
});

test.run();
