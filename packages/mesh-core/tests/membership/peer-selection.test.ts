import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { maximumFullMeshNodes, NodeDirectory, PeerSelection, zoneRank } from '../../src/index.js';
import type { MeshNode } from '../../src/index.js';
import { createNode } from '../fixtures.js';

const zoneCount = 5;
/** The services of the large registry, and the share of its servers that each has. */
const serviceShares = [
  ['provenance', 0.52],
  ['issuance', 0.36],
  ['retirement', 0.12],
] as const;

function createNodes(size: number): readonly MeshNode[] {
  return Array.from({ length: size }, (_, index) => {
    let part = (((index * 7) % size) + 0.5) / size;
    let service: string = serviceShares[0][0];
    for (const [name, share] of serviceShares) {
      service = name;
      if (part < share) break;
      part -= share;
    }
    return createNode(`node-${index}`, { availabilityZone: `zone-${index % zoneCount}`, service });
  });
}

/** The nodes that each node is connected to: those that it selected and those that selected it. */
function connectionsByNode(
  nodes: readonly MeshNode[],
  isReachable: (name: string) => boolean = () => true,
): ReadonlyMap<string, ReadonlySet<string>> {
  const connections = new Map<string, Set<string>>(nodes.map(({ name }) => [name, new Set()]));
  for (const self of nodes) {
    if (!isReachable(self.name)) continue;
    const selection = new PeerSelection(self);
    for (const other of nodes) if (other.name !== self.name) selection.add(other);
    for (const name of selection.select(isReachable)) {
      if (!isReachable(name)) continue;
      connections.get(self.name)?.add(name);
      connections.get(name)?.add(self.name);
    }
  }
  return connections;
}

function meanConnectionCount(connections: ReadonlyMap<string, ReadonlySet<string>>): number {
  let total = 0;
  for (const peers of connections.values()) total += peers.size;
  return total / connections.size;
}

test('the number of connections of a node does not grow with the cluster', () => {
  const connectionCounts = [100, 300, 1_000].map((size) =>
    meanConnectionCount(connectionsByNode(createNodes(size))),
  );
  const [small = 0, middle = 0, large = 0] = connectionCounts;
  assert.ok(middle <= small * 1.3, `${small} at 100, ${middle} at 300`);
  assert.ok(large <= middle * 1.3, `${middle} at 300, ${large} at 1,000`);
});

test('every node is connected to gates of each service, some of them in its own zone', () => {
  const nodes = createNodes(195);
  const byName = new Map(nodes.map((each) => [each.name, each]));
  for (const [name, peers] of connectionsByNode(nodes)) {
    for (const [service] of serviceShares) {
      const gates = [...peers].filter((peer) => byName.get(peer)?.service === service);
      assert.ok(gates.length >= 6, `${name} has ${gates.length} gates of ${service}`);
      const zone = byName.get(name)?.availabilityZone;
      const near = gates.filter((peer) => byName.get(peer)?.availabilityZone === zone);
      assert.ok(near.length >= 3, `${name} has ${near.length} gates of ${service} nearby`);
    }
  }
});

/** Whether a node is among the first of its zone, to which the others connect because they watch the configuration. */
function isWatcherCandidate(name: string, nodes: readonly MeshNode[]): boolean {
  const zone = nodes.find((each) => each.name === name)?.availabilityZone;
  const ranked = nodes
    .filter(({ availabilityZone }) => availabilityZone === zone)
    .sort((left, right) => (zoneRank(left) < zoneRank(right) ? -1 : 1));
  return ranked.slice(0, 4).some((each) => each.name === name);
}

test('the gates of a service are selected by about equally many nodes', () => {
  const nodes = createNodes(300);
  const connections = connectionsByNode(nodes);
  for (const [service] of serviceShares) {
    const connectionCounts = nodes
      .filter((each) => each.service === service && !isWatcherCandidate(each.name, nodes))
      .map(({ name }) => connections.get(name)?.size ?? 0);
    const mean = connectionCounts.reduce((sum, count) => sum + count, 0) / connectionCounts.length;
    assert.ok(
      Math.max(...connectionCounts) <= mean * 2,
      `${service}: ${Math.max(...connectionCounts)} of ${mean}`,
    );
  }
});

test('all nodes of a zone are connected to its first nodes, which watch the configuration', () => {
  const nodes = createNodes(195).filter(({ availabilityZone }) => availabilityZone === 'zone-0');
  const connections = connectionsByNode(nodes);
  const everywhere = nodes.filter(({ name }) =>
    nodes.every((other) => other.name === name || connections.get(other.name)?.has(name) === true),
  );
  assert.ok(everywhere.length >= 3, `${everywhere.length} nodes are connected to all`);
});

test('the cluster stays connected when half of its nodes are unreachable', () => {
  const nodes = createNodes(195);
  const isReachable = (name: string): boolean => Number(name.slice(5)) % 2 === 0;
  const connections = connectionsByNode(nodes, isReachable);
  const reached = new Set(['node-0']);
  for (const name of reached) for (const peer of connections.get(name) ?? []) reached.add(peer);
  assert.is(reached.size, nodes.filter(({ name }) => isReachable(name)).length);
});

test('a node that leaves changes few selections of other nodes', () => {
  const nodes = createNodes(195);
  const choose = (others: readonly MeshNode[]): ReadonlySet<string> => {
    const selection = new PeerSelection(createNode('self', { availabilityZone: 'zone-1' }));
    for (const other of others) selection.add(other);
    return selection.select(() => true);
  };
  const before = choose(nodes);
  const after = choose(nodes.slice(0, -1));
  const changed = [...before].filter((name) => !after.has(name));
  assert.ok(changed.length <= 2, `${changed.length} selections changed`);
});

test('a small cluster forms a full mesh; in a large one, nodes dial only selected nodes', () => {
  for (const [size, isComplete] of [
    [maximumFullMeshNodes, true],
    [195, false],
  ] as const) {
    const [self, ...others] = createNodes(size);
    if (self === undefined) throw new Error('the cluster has no nodes');
    const directory = new NodeDirectory(self);
    for (const other of others) directory.onNodeAnnounced(other, 0);
    const dialed = directory.takeNodesToDial(0).length;
    assert.is(dialed, directory.wantedConnectionCount);
    assert.is(dialed === others.length, isComplete);
  }
});

test('an unreachable node is replaced by the next, and is still dialed', () => {
  const [self = createNode('self'), ...others] = createNodes(195);
  const directory = new NodeDirectory(self);
  for (const other of others) directory.onNodeAnnounced(other, 0);
  const first = directory.takeNodesToDial(0);
  const [ended, ...alive] = first;
  if (ended === undefined) throw new Error('no node was dialed');
  for (const other of alive) directory.onConnected(other, 1);
  directory.onDialFailed(ended.name, 1);
  assert.ok(directory.takeNodesToDial(2).every(({ name }) => name !== ended.name));
  assert.ok(directory.wantedConnectionCount > first.length);
  assert.ok(directory.takeNodesToDial(1_000).some(({ name }) => name === ended.name));
});

test('a node that was not selected is dialed for a while after its connection was lost', () => {
  const [self = createNode('self'), ...others] = createNodes(195);
  const directory = new NodeDirectory(self);
  for (const other of others) directory.onNodeAnnounced(other, 0);
  const selected = new Set(directory.takeNodesToDial(0).map(({ name }) => name));
  const unselectedNode = others.find(({ name }) => !selected.has(name));
  if (unselectedNode === undefined) throw new Error('all nodes were selected');
  directory.onConnected(unselectedNode, 10);
  directory.onDisconnected(unselectedNode.name, 100);
  assert.ok(directory.takeNodesToDial(400).some(({ name }) => name === unselectedNode.name));
  directory.onDialFailed(unselectedNode.name, 400);
  assert.not(directory.takeNodesToDial(5_000).some(({ name }) => name === unselectedNode.name));
  assert.is(directory.nodeCount, 195);
});

test.run();
