import type { MeshFrame } from '@peridotspring/mesh-core';
import { createConfiguration, createLoad, createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationFollower } from '../src/mesh/configuration-follower.js';

/** Follows the configuration with a store and other nodes that the test plays. */
class Bench {
  public now = 0;
  public readonly sent: string[] = [];
  public readonly watching: boolean[] = [];
  public readonly erasTold: number[] = [];
  public readonly changes: number[] = [];
  public readonly events: string[] = [];
  public readonly follower = new ConfigurationFollower({
    changed: ({ version }) => this.changes.push(version),
    clock: () => this.now,
    decode: (content) => {
      const version = Number(Buffer.from(content).toString());
      if (Number.isNaN(version)) {
        return { field: 'version', kind: 'invalid', message: 'not a number' };
      }
      return { configuration: createConfiguration({ version }), kind: 'configuration' };
    },
    log: (event, fields) => this.events.push(`${event} ${JSON.stringify(fields)}`),
    ports: () => ({
      links: {
        broadcast: (frame) => {
          this.note('all', frame);
        },
        send: (name, frame) => {
          this.note(name, frame);
          return true;
        },
      },
      store: {
        eraTold: (era) => this.erasTold.push(era),
        watchConfiguration: (isWatching) => this.watching.push(isWatching),
      },
    }),
    self: createNode('self'),
  });

  public read(version: string, source = 'store'): void {
    this.follower.read(Buffer.from(version), source);
  }

  public connect(name: string, configurationVersion: number): void {
    this.follower.connected({
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
    this.follower.tick(now);
  }

  private note(to: string, frame: MeshFrame): void {
    this.sent.push(`${to} ${frame.kind}`);
  }
}

test('a newer configuration is in force and told to the others, an older one changes nothing', () => {
  const bench = new Bench();
  bench.read('7');
  bench.read('3');
  bench.read('7', 'b');
  assert.equal(bench.changes, [7]);
  assert.equal(bench.sent, ['all version']);
});

test('a store that shows an older version, or another text of the same one, is told once and changes nothing', () => {
  const bench = new Bench();
  bench.read('7');
  bench.read('3');
  bench.read('3');
  bench.read('07');
  bench.read('7');
  assert.equal(bench.changes, [7]);
  assert.equal(bench.events.slice(1), [
    'configuration-older {"inForce":7,"source":"store","version":3}',
    'configuration-differs {"inForce":7,"source":"store","version":7}',
  ]);
});

test('a store that came back from a copy is told to the nodes that do not ask it', () => {
  const bench = new Bench();
  bench.read('7');
  bench.follower.eraSeen(4, false);
  assert.equal(bench.sent, ['all version']);
  bench.follower.eraSeen(5, true);
  assert.is(bench.follower.storeEra, 5);
  assert.equal(bench.sent, ['all version', 'all version']);
  for (const told of [6, undefined, 'x', 1.5, NaN]) bench.follower.eraTold(told);
  assert.equal(bench.erasTold, [6]);
});

test('an invalid configuration is logged with its field and leaves what was in force', () => {
  const bench = new Bench();
  bench.read('7');
  bench.read('seven');
  assert.is(bench.follower.version, 7);
  assert.match(bench.events.join('\n'), /configuration-invalid .*"field":"version"/);
});

// A node that came back from a cut kept an old configuration until its own watch was answered.
test('a node that does not watch asks for the version that a new connection tells of', () => {
  const bench = new Bench();
  bench.read('7');
  for (const name of ['a', 'b', 'c', 'd']) bench.connect(name, 7);
  bench.connect('e', 9);
  bench.tick(0);
  assert.equal(bench.sent, ['all version', 'e pull']);
});

test('a node that asks gets the configuration in force, or nothing before there is one', () => {
  const bench = new Bench();
  bench.follower.asked('a');
  bench.read('7');
  bench.follower.asked('a');
  assert.equal(bench.sent, ['all version', 'a configuration']);
});

test('a node without others takes the watch, logs it, and tells others what it knows of the store', () => {
  const bench = new Bench();
  bench.tick(0);
  bench.tick(1_000);
  bench.tick(1_050);
  assert.equal(bench.watching, [true]);
  assert.match(bench.events.join('\n'), /configuration-watch {"watching":true}/);
  bench.follower.storeReached(false);
  assert.not(bench.follower.reachesStore);
  assert.equal(bench.sent, ['all store-reach']);
});

test.run();
