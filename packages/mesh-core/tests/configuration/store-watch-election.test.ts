import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StoreWatchElection } from '../../src/index.js';
import type { MeshNode } from '../../src/index.js';
import { createNode } from '../fixtures.js';

const names = Array.from({ length: 40 }, (_, index) => `node-${index}`);
const zones = ['zone-a', 'zone-b'];
const fleet: readonly MeshNode[] = names.map((name, index) => ({
  ...createNode(name),
  availabilityZone: zones[index % zones.length] ?? '',
}));
const electionMilliseconds = 1_000;

/** The elections of all nodes, by the name of the node, while all nodes are connected. */
function electionsOfConnectedFleet(nodes = fleet): ReadonlyMap<string, StoreWatchElection> {
  return new Map(
    nodes.map((self) => {
      const election = new StoreWatchElection(self);
      for (const peer of nodes) if (peer.name !== self.name) election.onNodeConnected(peer, true);
      election.evaluate(0);
      return [self.name, election];
    }),
  );
}

function watchersOf(
  elections: ReadonlyMap<string, StoreWatchElection>,
  now: number,
): readonly string[] {
  return [...elections].filter(([, election]) => election.evaluate(now)).map(([name]) => name);
}

function zoneOf(name: string): string {
  return fleet.find((candidate) => candidate.name === name)?.availabilityZone ?? '';
}

test('elects two nodes of each availability zone, whatever the size of the fleet', () => {
  for (const size of [4, 10, 40]) {
    const watchers = watchersOf(
      electionsOfConnectedFleet(fleet.slice(0, size)),
      electionMilliseconds,
    );
    assert.equal(watchers.map(zoneOf).sort(), ['zone-a', 'zone-a', 'zone-b', 'zone-b']);
  }
});

test('gives each watching node a place of its own, the same at all nodes', () => {
  const elections = electionsOfConnectedFleet();
  const turns = watchersOf(elections, electionMilliseconds).map(
    (name) => elections.get(name)?.watchTurn,
  );
  assert.equal(
    turns.map((turn) => turn?.count),
    [4, 4, 4, 4],
  );
  assert.equal(turns.map((turn) => turn?.index).sort(), [0, 1, 2, 3]);
});

test('gives a node that takes over a place although others precede it', () => {
  const [first = createNode('a'), ...others] = fleet.slice(0, 6);
  const election = new StoreWatchElection(first);
  for (const node of others) election.onNodeConnected(node, true);
  const { count, index } = election.watchTurn;
  assert.ok(index < count, `place ${index} of ${count}`);
  for (const node of others) election.onStoreReachabilityReported(node.name, false);
  assert.equal(election.watchTurn, { count: 1, index: 0 });
});

// When all nodes start together, none is connected yet, and each of them would call the store at once.
test('waits for other nodes after the start before it watches', () => {
  const election = new StoreWatchElection(createNode('alone'));
  assert.not(election.evaluate(0));
  assert.not(election.evaluate(900));
  assert.ok(election.evaluate(1_000));
});

test('keeps the same watchers during a reset of all connections', () => {
  const elections = electionsOfConnectedFleet();
  const watchers = watchersOf(elections, electionMilliseconds);
  for (const election of elections.values())
    for (const name of names) election.onNodeDisconnected(name);
  assert.equal(watchersOf(elections, 1_100), watchers);
  for (const [self, election] of elections) {
    for (const peer of fleet) if (peer.name !== self) election.onNodeConnected(peer, true);
  }
  assert.equal(watchersOf(elections, 2_500), watchers);
});

interface WatcherFailure {
  readonly name: string;
  /** Applies the failure of a watcher to the view of another node. */
  readonly apply: (election: StoreWatchElection, watcher: string) => void;
}

const watcherFailures: readonly WatcherFailure[] = [
  {
    apply: (election, watcher) => {
      election.onNodeDisconnected(watcher);
    },
    name: 'is unreachable',
  },
  {
    apply: (election, watcher) => {
      election.onStoreReachabilityReported(watcher, false);
    },
    name: 'has lost the store',
  },
];

for (const { apply, name } of watcherFailures) {
  test(`another node takes over after a second from a watcher that ${name}`, () => {
    const elections = new Map(electionsOfConnectedFleet());
    const [failed = ''] = watchersOf(elections, electionMilliseconds);
    const failedElection = elections.get(failed);
    elections.delete(failed);
    for (const election of elections.values()) apply(election, failed);
    failedElection?.onStoreReachabilityChanged(false);
    const remaining = watchersOf(elections, 1_500);
    assert.is(remaining.length, 3);
    assert.equal(watchersOf(elections, 2_500).map(zoneOf).sort(), [
      'zone-a',
      'zone-a',
      'zone-b',
      'zone-b',
    ]);
  });
}

// In an outage of the store all nodes used to poll it for its return, and each call is billed.
test('keeps the same watchers while no node reaches the store', () => {
  const elections = electionsOfConnectedFleet();
  const watchers = watchersOf(elections, electionMilliseconds);
  for (const election of elections.values()) {
    election.onStoreReachabilityChanged(false);
    for (const name of names) election.onStoreReachabilityReported(name, false);
  }
  assert.equal(watchersOf(elections, 2_000), watchers);
  assert.equal(watchersOf(elections, 4_000), watchers);
});

test('watches the store itself on a node that is partitioned from all others', () => {
  const elections = electionsOfConnectedFleet();
  const watchers = new Set(watchersOf(elections, electionMilliseconds));
  const [partitioned = '', election] = [...elections].find(([name]) => !watchers.has(name)) ?? [];
  for (const name of names) if (name !== partitioned) election?.onNodeDisconnected(name);
  assert.not(election?.evaluate(1_500));
  assert.ok(election?.evaluate(2_500));
});

test.run();
