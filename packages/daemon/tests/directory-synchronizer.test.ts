import type { MeshNode } from '@peridotspring/mesh-core';
import { createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DirectorySynchronizer } from '../src/mesh/directory-synchronizer.js';

class DirectoryHarness {
  public isRemovingEntries = true;
  public directoryReads = 0;
  public readonly removedEntries: string[] = [];
  public readonly logLines: string[] = [];
  public readonly synchronizer = new DirectorySynchronizer({
    isRemovingEntries: () => this.isRemovingEntries,
    log: (event, fields) => this.logLines.push(`${event} ${JSON.stringify(fields)}`),
    self: createNode('self'),
    startedAt: 0,
    store: () => ({
      refreshDirectory: () => {
        this.directoryReads += 1;
      },
      removeEntry: ({ name }: MeshNode) => {
        this.removedEntries.push(name);
      },
    }),
  });

  /** Dials what is due in vain, again and again. */
  public failDials(milliseconds: number): void {
    for (let now = 0; now < milliseconds; now += 50) {
      const { directory } = this.synchronizer;
      for (const { name } of directory.takeNodesToDial(now)) directory.onDialFailed(name, now);
      this.synchronizer.tick(now);
    }
  }
}

for (const isRemover of [true, false]) {
  test(`a node dialed in vain for a minute is forgotten; ${isRemover ? 'its entry goes' : 'others remove its entry'}`, () => {
    const bench = new DirectoryHarness();
    bench.isRemovingEntries = isRemover;
    bench.synchronizer.observe(createNode('b'), 0);
    bench.failDials(59_000);
    assert.equal(bench.removedEntries, []);
    bench.failDials(65_000);
    assert.equal(bench.removedEntries, isRemover ? ['b'] : []);
    assert.is(bench.synchronizer.directory.nodeCount, 1);
  });
}

test('a node without connections reads the directory each 5 s, one with a connection does not', () => {
  const bench = new DirectoryHarness();
  bench.failDials(12_000);
  assert.is(bench.directoryReads, 2);
  const connected = new DirectoryHarness();
  connected.synchronizer.directory.onConnected(createNode('b'), 0);
  connected.failDials(12_000);
  assert.is(connected.directoryReads, 0);
});

test('nodes that were heard of are told in one line', () => {
  const bench = new DirectoryHarness();
  for (const name of ['b', 'c', 'd']) bench.synchronizer.observe(createNode(name), 0);
  bench.synchronizer.onReadComplete();
  bench.synchronizer.onReadComplete();
  assert.equal(bench.logLines, ['nodes-known {"known":3,"nodes":3,"source":"store"}']);
});

test('a node is mostly connected once the directory was read and half of the connections are up', () => {
  const { synchronizer: keeper } = new DirectoryHarness();
  for (const name of ['b', 'c', 'd']) keeper.observe(createNode(name), 0);
  keeper.directory.onConnected(createNode('b'), 1);
  keeper.directory.onConnected(createNode('c'), 1);
  assert.is(keeper.isMostlyConnected, false);
  keeper.onReadComplete();
  assert.is(keeper.isMostlyConnected, true);
  keeper.directory.onDisconnected('c', 2);
  assert.is(keeper.isMostlyConnected, false);
});

test.run();
