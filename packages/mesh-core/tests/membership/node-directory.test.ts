import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { NodeDirectory } from '../../src/index.js';
import { createNode } from '../fixtures.js';

const namesToDial = (directory: NodeDirectory, now: number): readonly string[] =>
  directory.takeNodesToDial(now).map(({ name }) => name);

test('an announced node is dialed once, until the dial fails', () => {
  const directory = new NodeDirectory(createNode('a'));
  assert.ok(directory.onNodeAnnounced(createNode('b'), 0));
  assert.not(directory.onNodeAnnounced(createNode('b'), 1));
  assert.equal(namesToDial(directory, 1), ['b']);
  assert.equal(namesToDial(directory, 100), []);
  directory.onDialFailed('b', 100);
  assert.equal(namesToDial(directory, 150), []);
  assert.equal(namesToDial(directory, 400), ['b']);
});

/** Times in milliseconds at which an unreachable node is dialed. */
function dialTimesOfUnreachableNode(milliseconds: number): readonly number[] {
  const directory = new NodeDirectory(createNode('a'));
  directory.onNodeAnnounced(createNode('b'), 0);
  const times: number[] = [];
  for (let now = 0; now < milliseconds; now += 10) {
    for (const { name } of directory.takeNodesToDial(now)) {
      times.push(now);
      directory.onDialFailed(name, now);
    }
  }
  return times;
}

test('a recently announced node is dialed often, since it may be restarting without the store', () => {
  const times = dialTimesOfUnreachableNode(9_000);
  const gaps = times.slice(1).map((time, index) => time - (times[index] ?? 0));
  assert.ok(Math.max(...gaps) <= 310, `longest gap ${Math.max(...gaps)} ms`);
});

test('a node that stays unreachable is still dialed, but rarely', () => {
  const late = dialTimesOfUnreachableNode(40_000).filter((time) => time >= 12_000);
  assert.ok(late.length >= 13 && late.length <= 15, `${late.length} dials in 28 s`);
});

test('an unreachable node that is no longer announced is forgotten', () => {
  const directory = new NodeDirectory(createNode('a'));
  directory.onNodeAnnounced(createNode('b'), 0);
  directory.onDialFailed('b', 0);
  assert.equal(namesToDial(directory, 61_000), []);
  assert.is(directory.nodeCount, 1);
  assert.equal(
    directory.takeForgottenNodes().map(({ name }) => name),
    ['b'],
  );
  assert.equal(directory.takeForgottenNodes(), []);
});

test('a new incarnation at a new address replaces the previous one', () => {
  const directory = new NodeDirectory(createNode('a'));
  directory.onNodeAnnounced(createNode('b', { address: '10.0.0.1:1', boot: 1 }), 0);
  directory.onNodeAnnounced(createNode('b', { address: '10.0.0.2:1', boot: 2 }), 1);
  directory.onNodeAnnounced(createNode('b', { address: '10.0.0.1:1', boot: 1 }), 2);
  assert.is(directory.nodes()[0]?.address, '10.0.0.2:1');
});

test('after a lost connection, the node whose name sorts first dials first', () => {
  for (const [self, other, at, isDue] of [
    ['a', 'b', 10, true],
    ['b', 'a', 10, false],
    ['b', 'a', 200, true],
  ] as const) {
    const directory = new NodeDirectory(createNode(self));
    directory.onConnected(createNode(other), 0);
    directory.onDisconnected(other, 5);
    assert.is(namesToDial(directory, at).length > 0, isDue, `${self} dials ${other} at ${at}`);
  }
});

test('a disconnected node is dialed at once, since it may have restarted without the store', () => {
  const directory = new NodeDirectory(createNode('a'));
  directory.onConnected(createNode('b'), 0);
  directory.onDisconnected('b', 1_000);
  assert.equal(namesToDial(directory, 1_000), ['b']);
  directory.onDialFailed('b', 1_010);
  assert.equal(namesToDial(directory, 1_400), ['b']);
});

test('a node does not dial itself', () => {
  const directory = new NodeDirectory(createNode('a'));
  assert.not(directory.onNodeAnnounced(createNode('a'), 0));
  assert.equal(namesToDial(directory, 0), []);
});

test.run();
