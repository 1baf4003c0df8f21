import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { rankBrokers } from '../../src/membership/broker-ranking.js';
import type { MeshNode } from '../../src/messages/mesh-frames.js';

function createNodes(count: number): readonly MeshNode[] {
  return Array.from({ length: count }, (_, index) => ({
    address: '',
    availabilityZone: `zone-${index % 4}`,
    boot: 1,
    name: `node-${index}`,
    region: 'region',
    service: 'service',
  }));
}

function rankAt(
  index: number,
  nodes: readonly MeshNode[],
  isReachable: (name: string) => boolean = () => true,
): readonly string[] {
  const self = nodes[index];
  assert.ok(self);
  const others = nodes.filter((node) => node !== self);
  return rankBrokers(0, self, others, isReachable);
}

// Nodes with different brokers would share less.
test('all nodes of a fleet choose the same broker', () => {
  const nodes = createNodes(58);
  const first = rankAt(0, nodes);
  for (const index of nodes.keys()) assert.equal(rankAt(index, nodes), first);
});

test('an unreachable broker stays in the list and another one is added', () => {
  const nodes = createNodes(58);
  const [preferred = '', second = ''] = rankAt(0, nodes);
  const index = nodes.findIndex(({ name }) => name !== preferred && name !== second);
  const ranked = rankAt(index, nodes, (name) => name !== preferred);
  assert.is(ranked.length, 3);
  assert.equal(ranked.slice(0, 2), [preferred, second]);
});

// A node of a large fleet cannot keep a connection to every other.
test('in a large fleet each zone has brokers of its own', () => {
  const nodes = createNodes(600);
  const brokers = new Set(nodes.map((_, index) => rankAt(index, nodes)[0]));
  assert.is(brokers.size, 4);
});

test.run();
