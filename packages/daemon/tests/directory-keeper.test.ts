import type { MeshNode } from '@peridotspring/mesh-core';
import { createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DirectoryKeeper } from '../src/mesh/directory-keeper.js';

class Bench {
  public isRemover = true;
  public reads = 0;
  public readonly removed: string[] = [];
  public readonly lines: string[] = [];
  public readonly keeper = new DirectoryKeeper({
    isRemover: () => this.isRemover,
    log: (event, fields) => this.lines.push(`${event} ${JSON.stringify(fields)}`),
    self: createNode('self'),
    startedAt: 0,
    store: () => ({
      refreshDirectory: () => {
        this.reads += 1;
      },
      removeEntry: ({ name }: MeshNode) => {
        this.removed.push(name);
      },
    }),
  });

  /** Dials what is due in vain, again and again. */
  public dialInVain(milliseconds: number): void {
    for (let now = 0; now < milliseconds; now += 50) {
      const { directory } = this.keeper;
      for (const { name } of directory.takeNodesToDial(now)) directory.onDialFailed(name, now);
      this.keeper.tick(now);
    }
  }
}

for (const isRemover of [true, false]) {
  test(`a node dialed in vain for a minute is forgotten; ${isRemover ? 'its entry goes' : 'others remove its entry'}`, () => {
    const bench = new Bench();
    bench.isRemover = isRemover;
    bench.keeper.mentioned(createNode('b'), 0);
    bench.dialInVain(59_000);
    assert.equal(bench.removed, []);
    bench.dialInVain(65_000);
    assert.equal(bench.removed, isRemover ? ['b'] : []);
    assert.is(bench.keeper.directory.nodeCount, 1);
  });
}

test('a node without connections reads the directory each 5 s, one with a connection does not', () => {
  const bench = new Bench();
  bench.dialInVain(12_000);
  assert.is(bench.reads, 2);
  const connected = new Bench();
  connected.keeper.directory.onConnected(createNode('b'), 0);
  connected.dialInVain(12_000);
  assert.is(connected.reads, 0);
});

test('nodes that were heard of are told in one line', () => {
  const bench = new Bench();
  for (const name of ['b', 'c', 'd']) bench.keeper.mentioned(createNode(name), 0);
  bench.keeper.read();
  bench.keeper.read();
  assert.equal(bench.lines, ['nodes-known {"known":3,"nodes":3,"source":"store"}']);
});

test('a node is mostly connected once the directory was read and half of the connections are up', () => {
  const { keeper } = new Bench();
  for (const name of ['b', 'c', 'd']) keeper.mentioned(createNode(name), 0);
  keeper.directory.onConnected(createNode('b'), 1);
  keeper.directory.onConnected(createNode('c'), 1);
  assert.is(keeper.isMostlyConnected, false);
  keeper.read();
  assert.is(keeper.isMostlyConnected, true);
  keeper.directory.onDisconnected('c', 2);
  assert.is(keeper.isMostlyConnected, false);
});

test.run();
