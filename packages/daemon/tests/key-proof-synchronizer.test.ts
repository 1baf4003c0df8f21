import type { ProofFrame, ProofRequestFrame } from '@peridotspring/mesh-core';
import { createNode } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { KeyProofSynchronizer } from '../src/mesh/key-proof-synchronizer.js';

const revocationMilliseconds = 5_000;

interface SentFrame {
  readonly to: string;
  readonly frame: ProofFrame | ProofRequestFrame;
}

/** A synchronizer with recorded output, whose clock and versions the test sets. */
class SynchronizerFixture {
  public now = 0;
  public versions = { inForce: 3, inStore: 3 as number | undefined, newest: 3 };
  public reads = 0;
  public reachesStore = true;
  public readonly events: string[] = [];
  public readonly sent: SentFrame[] = [];
  public readonly synchronizer: KeyProofSynchronizer;

  public constructor(bound: number | undefined = revocationMilliseconds, name = 'self') {
    this.synchronizer = new KeyProofSynchronizer({
      connections: () => ({
        send: (to, frame) => {
          if (frame.kind === 'proof' || frame.kind === 'proof-request')
            this.sent.push({ frame, to });
          return true;
        },
      }),
      isWatching: () => false,
      leaseClock: () => this.now,
      log: (event) => this.events.push(event),
      reachesStore: () => this.reachesStore,
      readStore: () => (this.reads += 1),
      revocationMilliseconds: bound,
      self: createNode(name),
      versions: () => this.versions,
    });
  }

  public get isProven(): boolean {
    return this.synchronizer.validMilliseconds > 0;
  }

  public runUntil(end: number): void {
    for (; this.now < end; this.now += 50) this.synchronizer.tick();
  }
}

test('without a bound, keys hold without a proof, and nothing is asked or read', () => {
  const fixture = new SynchronizerFixture();
  fixture.synchronizer.configure(undefined);
  fixture.synchronizer.onConnected(createNode('peer'));
  fixture.runUntil(20_000);
  assert.ok(fixture.isProven);
  assert.equal([fixture.sent.length, fixture.reads, fixture.events.length], [0, 0, 0]);
  fixture.synchronizer.configure(revocationMilliseconds);
  assert.not(fixture.isProven);
});

test('a proof passes from the node that read the store to one that asks, and expires there too', () => {
  const reader = new SynchronizerFixture();
  const asking = new SynchronizerFixture(revocationMilliseconds, 'asking');
  // The clocks of two machines have nothing in common.
  asking.now = 1_000_000;
  asking.synchronizer.onConnected(createNode('reader'));
  assert.ok(reader.synchronizer.onStoreRead(reader.now));
  reader.now += 1_000;
  asking.runUntil(asking.now + 500);
  const request = asking.sent[0]?.frame;
  reader.synchronizer.onRequested('asking', request?.number ?? 0);
  const answer = reader.sent[0]?.frame;
  assert.is(answer?.kind === 'proof' && answer.ageMilliseconds, 1_000);
  if (answer?.kind === 'proof') asking.synchronizer.onAnswer('reader', answer);
  assert.ok(asking.isProven);
  asking.now = 1_000_000 + revocationMilliseconds - 1_000;
  assert.not(asking.isProven);
  asking.synchronizer.tick();
  assert.equal(asking.events, ['key-proof-regained', 'key-proof-expired']);
});

test('a node without a valid proof does not answer', () => {
  const fixture = new SynchronizerFixture();
  fixture.synchronizer.onRequested('asking', 1);
  fixture.synchronizer.onStoreRead(0);
  fixture.now = revocationMilliseconds;
  fixture.synchronizer.onRequested('asking', 2);
  assert.equal(fixture.sent, []);
});

// The store may come back from an older copy while a peer already has the version that removed the key.
test('nothing is a proof while a newer version than the one in force is known, or the store holds an invalid one', () => {
  const fixture = new SynchronizerFixture();
  fixture.versions = { inForce: 3, inStore: 2, newest: 4 };
  assert.not(fixture.synchronizer.onStoreRead(0));
  fixture.versions = { inForce: 3, inStore: undefined, newest: 3 };
  assert.not(fixture.synchronizer.onStoreRead(0));
  fixture.versions = { inForce: 3, inStore: 2, newest: 3 };
  assert.ok(fixture.synchronizer.onStoreRead(0));
});

test('a node without peers reads the store, but not while it cannot reach it', () => {
  const fixture = new SynchronizerFixture();
  fixture.reachesStore = false;
  fixture.runUntil(10_000);
  assert.is(fixture.reads, 0);
  fixture.reachesStore = true;
  fixture.runUntil(10_100);
  assert.is(fixture.reads, 1);
});

test.run();
