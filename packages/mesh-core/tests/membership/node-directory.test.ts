import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { NodeDirectory } from '../../src/index.js';
import { node } from '../fixtures.js';

const names = (directory: NodeDirectory, now: number): readonly string[] =>
  directory.dueForDial(now).map(({ name }) => name);

test('a node that is mentioned is dialed once, until the dial fails', () => {
  const directory = new NodeDirectory('a');
  assert.ok(directory.mentioned(node('b'), 0));
  assert.not(directory.mentioned(node('b'), 1));
  assert.equal(names(directory, 1), ['b']);
  assert.equal(names(directory, 100), []);
  directory.dialFailed('b', 100);
  assert.equal(names(directory, 150), []);
  assert.equal(names(directory, 400), ['b']);
});

test('dials grow rarer up to a bound, so that a node that comes back is found soon', () => {
  const directory = new NodeDirectory('a');
  directory.mentioned(node('b'), 0);
  let now = 0;
  let dials = 0;
  for (; now < 30_000; now += 50) {
    for (const { name } of directory.dueForDial(now)) {
      dials += 1;
      directory.dialFailed(name, now);
    }
  }
  assert.ok(dials >= 14 && dials <= 25, `${dials} dials in 30 s`);
});

test('a node that nobody mentions and that can not be reached is forgotten', () => {
  const directory = new NodeDirectory('a');
  directory.mentioned(node('b'), 0);
  directory.dialFailed('b', 0);
  assert.equal(names(directory, 61_000), []);
  assert.is(directory.size, 1);
});

test('a new life at a new address replaces the old one', () => {
  const directory = new NodeDirectory('a');
  directory.mentioned(node('b', { address: '10.0.0.1:1', boot: 1 }), 0);
  directory.mentioned(node('b', { address: '10.0.0.2:1', boot: 2 }), 1);
  directory.mentioned(node('b', { address: '10.0.0.1:1', boot: 1 }), 2);
  assert.is(directory.nodes()[0]?.address, '10.0.0.2:1');
});

test('the node with the earlier name dials first after a connection was lost', () => {
  for (const [self, other, at, isDue] of [
    ['a', 'b', 10, true],
    ['b', 'a', 10, false],
    ['b', 'a', 200, true],
  ] as const) {
    const directory = new NodeDirectory(self);
    directory.connectedTo(node(other), 0);
    directory.disconnected(other, 5);
    assert.is(names(directory, at).length > 0, isDue, `${self} dials ${other} at ${at}`);
  }
});

test('a node that said that it leaves is not looked for', () => {
  const directory = new NodeDirectory('a');
  directory.connectedTo(node('b'), 0);
  directory.left('b');
  assert.equal(names(directory, 5_000), []);
});

test('a node does not dial itself', () => {
  const directory = new NodeDirectory('a');
  assert.not(directory.mentioned(node('a'), 0));
  assert.equal(names(directory, 0), []);
});

test.run();
