import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { completeFleetNodes, NodeDirectory, PeerSelection, zoneRank } from '../../src/index.js';
import type { MeshNode } from '../../src/index.js';
import { node } from '../fixtures.js';

const zones = 5;
/** The services of the large registry and their parts of its servers. */
const serviceShares = [
  ['provenance', 0.52],
  ['issuance', 0.36],
  ['retirement', 0.12],
] as const;

function fleet(size: number): readonly MeshNode[] {
  return Array.from({ length: size }, (_, index) => {
    let part = (((index * 7) % size) + 0.5) / size;
    let service: string = serviceShares[0][0];
    for (const [name, share] of serviceShares) {
      service = name;
      if (part < share) break;
      part -= share;
    }
    return node(`node-${index}`, { availabilityZone: `zone-${index % zones}`, service });
  });
}

/** The nodes that each node is connected to: those it chose and those that chose it. */
function connections(
  nodes: readonly MeshNode[],
  isReachable: (name: string) => boolean = () => true,
): ReadonlyMap<string, ReadonlySet<string>> {
  const links = new Map<string, Set<string>>(nodes.map(({ name }) => [name, new Set()]));
  for (const self of nodes) {
    if (!isReachable(self.name)) continue;
    const selection = new PeerSelection(self);
    for (const other of nodes) if (other.name !== self.name) selection.add(other);
    for (const name of selection.select(isReachable)) {
      if (!isReachable(name)) continue;
      links.get(self.name)?.add(name);
      links.get(name)?.add(self.name);
    }
  }
  return links;
}

function meanDegree(links: ReadonlyMap<string, ReadonlySet<string>>): number {
  let total = 0;
  for (const peers of links.values()) total += peers.size;
  return total / links.size;
}

test('the connections of a node do not grow with the fleet', () => {
  const degrees = [100, 300, 1_000].map((size) => meanDegree(connections(fleet(size))));
  const [small = 0, middle = 0, large = 0] = degrees;
  assert.ok(middle <= small * 1.3, `${small} at 100, ${middle} at 300`);
  assert.ok(large <= middle * 1.3, `${middle} at 300, ${large} at 1,000`);
});

test('every node is connected to gates of each service, nearby first', () => {
  const nodes = fleet(195);
  const byName = new Map(nodes.map((each) => [each.name, each]));
  for (const [name, peers] of connections(nodes)) {
    for (const [service] of serviceShares) {
      const gates = [...peers].filter((peer) => byName.get(peer)?.service === service);
      assert.ok(gates.length >= 6, `${name} has ${gates.length} gates of ${service}`);
      const zone = byName.get(name)?.availabilityZone;
      const near = gates.filter((peer) => byName.get(peer)?.availabilityZone === zone);
      assert.ok(near.length >= 3, `${name} has ${near.length} gates of ${service} nearby`);
    }
  }
});

/** The first nodes of each zone are connected to all of it: they watch the configuration for it. */
function isLeader(name: string, nodes: readonly MeshNode[]): boolean {
  const zone = nodes.find((each) => each.name === name)?.availabilityZone;
  const ranked = nodes
    .filter(({ availabilityZone }) => availabilityZone === zone)
    .sort((left, right) => (zoneRank(left) < zoneRank(right) ? -1 : 1));
  return ranked.slice(0, 4).some((each) => each.name === name);
}

test('gates of a service are chosen by about equally many nodes', () => {
  const nodes = fleet(300);
  const links = connections(nodes);
  for (const [service] of serviceShares) {
    const degrees = nodes
      .filter((each) => each.service === service && !isLeader(each.name, nodes))
      .map(({ name }) => links.get(name)?.size ?? 0);
    const mean = degrees.reduce((sum, degree) => sum + degree, 0) / degrees.length;
    assert.ok(Math.max(...degrees) <= mean * 2, `${service}: ${Math.max(...degrees)} of ${mean}`);
  }
});

test('any two nodes of a zone know the same first nodes, which watch the configuration', () => {
  const nodes = fleet(195).filter(({ availabilityZone }) => availabilityZone === 'zone-0');
  const links = connections(nodes);
  const everywhere = nodes.filter(({ name }) =>
    nodes.every((other) => other.name === name || links.get(other.name)?.has(name) === true),
  );
  assert.ok(everywhere.length >= 3, `${everywhere.length} nodes are known to all`);
});

test('the fleet stays connected when half of its nodes are gone', () => {
  const nodes = fleet(195);
  const isReachable = (name: string): boolean => Number(name.slice(5)) % 2 === 0;
  const links = connections(nodes, isReachable);
  const reached = new Set(['node-0']);
  for (const name of reached) for (const peer of links.get(name) ?? []) reached.add(peer);
  assert.is(reached.size, nodes.filter(({ name }) => isReachable(name)).length);
});

test('a node that comes or goes changes few choices of the others', () => {
  const nodes = fleet(195);
  const choose = (others: readonly MeshNode[]): ReadonlySet<string> => {
    const selection = new PeerSelection(node('self', { availabilityZone: 'zone-1' }));
    for (const other of others) selection.add(other);
    return selection.select(() => true);
  };
  const before = choose(nodes);
  const after = choose(nodes.slice(0, -1));
  const changed = [...before].filter((name) => !after.has(name));
  assert.ok(changed.length <= 2, `${changed.length} choices changed`);
});

test('a small fleet connects completely; a large one dials what was selected', () => {
  for (const [size, isComplete] of [
    [completeFleetNodes, true],
    [195, false],
  ] as const) {
    const [self, ...others] = fleet(size);
    if (self === undefined) throw new Error('the fleet is empty');
    const directory = new NodeDirectory(self);
    for (const other of others) directory.mentioned(other, 0);
    const dialed = directory.dueForDial(0).length;
    assert.is(dialed, directory.wanted);
    assert.is(dialed === others.length, isComplete);
  }
});

test('a node that refuses is replaced by the next, and dialed on', () => {
  const [self = node('self'), ...others] = fleet(195);
  const directory = new NodeDirectory(self);
  for (const other of others) directory.mentioned(other, 0);
  const first = directory.dueForDial(0);
  const [ended, ...alive] = first;
  if (ended === undefined) throw new Error('nothing was dialed');
  for (const other of alive) directory.connectedTo(other, 1);
  directory.dialFailed(ended.name, 1);
  assert.ok(directory.dueForDial(2).every(({ name }) => name !== ended.name));
  assert.ok(directory.wanted > first.length);
  assert.ok(directory.dueForDial(1_000).some(({ name }) => name === ended.name));
});

test('a connection that is lost is dialed again for a while, although the node was not selected', () => {
  const [self = node('self'), ...others] = fleet(195);
  const directory = new NodeDirectory(self);
  for (const other of others) directory.mentioned(other, 0);
  const selected = new Set(directory.dueForDial(0).map(({ name }) => name));
  const guest = others.find(({ name }) => !selected.has(name));
  if (guest === undefined) throw new Error('everything was selected');
  directory.connectedTo(guest, 10);
  directory.disconnected(guest.name, 100);
  assert.ok(directory.dueForDial(400).some(({ name }) => name === guest.name));
  directory.dialFailed(guest.name, 400);
  assert.not(directory.dueForDial(5_000).some(({ name }) => name === guest.name));
  assert.is(directory.size, 195);
});

test.run();
