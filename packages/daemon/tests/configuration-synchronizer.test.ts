import type { MeshFrame } from '@peridotspring/mesh-core';
import { createConfiguration, createLoad, createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationSynchronizer } from '../src/mesh/configuration-synchronizer.js';

/** Follows the configuration with a store and other nodes that the test plays. */
class ConfigurationHarness {
  public now = 0;
  public refreshes = 0;
  public readonly sentFrames: string[] = [];
  public readonly watchChanges: boolean[] = [];
  public readonly observedEras: number[] = [];
  public readonly appliedVersions: number[] = [];
  public readonly logLines: string[] = [];
  public readonly synchronizer = new ConfigurationSynchronizer({
    onChange: ({ version }) => this.appliedVersions.push(version),
    clock: () => this.now,
    decode: (content) => {
      const version = Number(Buffer.from(content).toString());
      if (Number.isNaN(version)) {
        return { field: 'version', kind: 'invalid', message: 'not a number' };
      }
      return {
        configuration: createConfiguration({ version }),
        kind: 'configuration',
        unknownTypes: [],
      };
    },
    log: (event, fields) => this.logLines.push(`${event} ${JSON.stringify(fields)}`),
    ports: () => ({
      connections: {
        broadcast: (frame) => {
          this.recordFrame('all', frame);
        },
        send: (name, frame) => {
          this.recordFrame(name, frame);
          return true;
        },
      },
      store: {
        proveConfiguration: () => undefined,
        refreshConfiguration: () => (this.refreshes += 1),
        observeEra: (era) => this.observedEras.push(era),
        watchConfiguration: (isWatching) => this.watchChanges.push(isWatching),
      },
    }),
    propagationMilliseconds: 2_000,
    self: createNode('self'),
  });

  public receive(version: string, source = 'store'): void {
    this.synchronizer.onContentReceived(Buffer.from(version), source);
  }

  public connect(name: string, configurationVersion: number): void {
    this.synchronizer.onConnected({
      configurationVersion,
      kind: 'hello',
      knownNodes: 1,
      load: createLoad(),
      node: createNode(name),
      protocol: 2,
      reachesStore: true,
    });
  }

  public tick(now: number): void {
    this.now = now;
    this.synchronizer.tick(now);
  }

  private recordFrame(to: string, frame: MeshFrame): void {
    this.sentFrames.push(`${to} ${frame.kind}`);
  }
}

test('a newer configuration is in force and told to the others, an older one changes nothing', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  bench.receive('3');
  bench.receive('7', 'b');
  assert.equal(bench.appliedVersions, [7]);
  assert.equal(bench.sentFrames, ['all version']);
});

test('a store that shows an older version, or another text of the same one, is told once and changes nothing', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  bench.receive('3');
  bench.receive('3');
  bench.receive('07');
  bench.receive('7');
  assert.equal(bench.appliedVersions, [7]);
  assert.equal(bench.logLines.slice(1), [
    'configuration-older {"inForce":7,"source":"store","version":3}',
    'configuration-differs {"inForce":7,"source":"store","version":7}',
  ]);
});

test('a store that came back from a copy is told to the nodes that do not ask it', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  bench.synchronizer.onEraObserved(4, false);
  assert.equal(bench.sentFrames, ['all version']);
  bench.synchronizer.onEraObserved(5, true);
  assert.is(bench.synchronizer.storeEra, 5);
  assert.equal(bench.sentFrames, ['all version', 'all version']);
  for (const told of [6, undefined, 'x', 1.5, NaN]) bench.synchronizer.onPeerEra(told);
  assert.equal(bench.observedEras, [6]);
});

test('an invalid configuration is logged with its field and leaves what was in force', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  bench.receive('seven');
  assert.is(bench.synchronizer.version, 7);
  assert.match(bench.logLines.join('\n'), /configuration-invalid .*"field":"version"/);
});

// A node that came back from a cut kept an old configuration until its own watch was answered.
test('a node that does not watch asks for the version that a new connection tells of', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  for (const name of ['a', 'b', 'c', 'd']) bench.connect(name, 7);
  bench.connect('e', 9);
  bench.tick(0);
  assert.equal(bench.sentFrames, ['all version', 'e pull']);
});

test('a node that asks gets the configuration in force, or nothing before there is one', () => {
  const bench = new ConfigurationHarness();
  bench.synchronizer.onPullRequested('a');
  bench.receive('7');
  bench.synchronizer.onPullRequested('a');
  assert.equal(bench.sentFrames, ['all version', 'a configuration']);
});

test('a node without others takes the watch, logs it, and tells others what it knows of the store', () => {
  const bench = new ConfigurationHarness();
  bench.tick(0);
  bench.tick(1_000);
  bench.tick(1_050);
  assert.equal(bench.watchChanges, [true]);
  assert.match(bench.logLines.join('\n'), /configuration-watch {"watching":true}/);
  bench.synchronizer.onStoreReachabilityChanged(false);
  assert.not(bench.synchronizer.reachesStore);
  assert.equal(bench.sentFrames, ['all store-reach']);
});

test('a node that hears no confirmation reads the configuration itself, and tells others that it is the newest', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  // Two of these precede the node in the order of those that watch.
  for (let index = 0; index < 15; index += 1) bench.connect(`n${index}`, 7);
  for (let now = 0; now <= 6_000; now += 50) {
    if (now % 700 === 0) bench.synchronizer.onPeerConfirmed(7);
    bench.tick(now);
  }
  assert.is(bench.refreshes, 0);
  assert.equal(bench.watchChanges, []);
  for (let now = 6_000; now <= 7_200; now += 50) bench.tick(now);
  assert.is(bench.refreshes, 1);
  assert.match(bench.logLines.join('\n'), /configuration-unconfirmed/);
  bench.synchronizer.onStoreConfirmed(false);
  assert.is(bench.synchronizer.unconfirmedMilliseconds(7_200), 0);
  assert.equal(bench.sentFrames, ['all version', 'all version']);
});

test('a peer that confirms a newer version does not confirm the one in force', () => {
  const bench = new ConfigurationHarness();
  bench.receive('7');
  bench.now = 1_000;
  bench.synchronizer.onPeerConfirmed(8);
  assert.is(bench.synchronizer.unconfirmedMilliseconds(1_000), 1_000);
});

test.run();
