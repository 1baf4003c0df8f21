import type { CrashedRun, CrashRecord, VersionFrame } from '@peridotspring/mesh-core';
import { createNode, createStartFrame } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { QuarantineSynchronizer } from '../src/mesh/quarantine-synchronizer.js';

/** A synchronizer with recorded output. */
class SynchronizerFixture {
  public readonly events: string[] = [];
  public readonly frames: VersionFrame[] = [];
  public readonly stored = new Map<string, Uint8Array>();
  public readonly synchronizer: QuarantineSynchronizer;
  public unixMilliseconds = 1_000_000;

  public constructor(name: string) {
    this.synchronizer = new QuarantineSynchronizer({
      configurationVersion: () => 1,
      connections: () => ({
        broadcast: (frame) => {
          if (frame.kind === 'version') this.frames.push(frame);
        },
      }),
      isRemovingRecords: () => true,
      log: (event) => this.events.push(event),
      onQuarantineChanged: () => undefined,
      self: createNode(name),
      store: () => ({
        removeQuarantine: (fingerprint) => this.stored.delete(fingerprint),
        writeQuarantine: (fingerprint, value) => this.stored.set(fingerprint, value),
      }),
      wallClock: () => this.unixMilliseconds,
    });
  }
}

const request = createStartFrame({ path: '/bad' });
const crash = { ageMilliseconds: 5, id: 'a/1/1', isRefuted: false, runMilliseconds: 1 };

/** A run of the request that ended with the crash of its server at the time given. */
function createRun(crashedAt: number): CrashedRun {
  return { crashedAt, request, runMilliseconds: 50 };
}

test('crashes that three nodes saw, one each, quarantine the request on all of them', () => {
  const fixtures = ['a', 'b', 'c'].map((name) => new SynchronizerFixture(name));
  for (const [index, { synchronizer }] of fixtures.entries())
    synchronizer.onServerCrashed([createRun((index - 2) * 100)], 0);
  for (const { frames } of fixtures)
    for (const { synchronizer } of fixtures) synchronizer.onPeerRecords(frames[0]?.crashRecords, 2);
  for (const { events, synchronizer } of fixtures) {
    assert.ok(synchronizer.quarantine.suspicionOf(request, 2).quarantinedUntil);
    assert.equal(events, ['request-quarantined']);
  }
});

test('a node that restarts learns from the first message of a peer', () => {
  const [peer, restarted] = [new SynchronizerFixture('a'), new SynchronizerFixture('b')];
  for (const now of [0, 100, 200]) peer.synchronizer.onServerCrashed([createRun(now)], now);
  restarted.synchronizer.onPeerRecords(peer.synchronizer.records(210), 211);
  assert.ok(restarted.synchronizer.quarantine.suspicionOf(request, 211).quarantinedUntil);
});

test('one node keeps a quarantined request in the store, which tells a node that starts when all have restarted', () => {
  const fixtures = ['a', 'b', 'c'].map((name) => new SynchronizerFixture(name));
  for (const [index, { frames, synchronizer }] of fixtures.entries()) {
    const now = 100 * index;
    synchronizer.onServerCrashed([createRun(now)], now);
    for (const other of fixtures)
      other.synchronizer.onPeerRecords(frames.at(-1)?.crashRecords, now + 1);
  }
  assert.equal(
    fixtures.map(({ stored }) => stored.size),
    [0, 0, 1],
  );
  const started = new SynchronizerFixture('d');
  started.unixMilliseconds += 100_000;
  for (const value of fixtures[2]?.stored.values() ?? [])
    started.synchronizer.onStoredRecord(value, 50);
  const { quarantinedUntil } = started.synchronizer.quarantine.suspicionOf(request, 50);
  assert.ok(quarantinedUntil !== undefined && Math.abs(quarantinedUntil - 500_000) < 300);
  assert.is(started.stored.size, 0);
});

test('an operator releases a request on one node, and all nodes learn of it', () => {
  const [first, second] = [new SynchronizerFixture('a'), new SynchronizerFixture('b')];
  for (const now of [0, 100, 200]) first.synchronizer.onServerCrashed([createRun(now)], now);
  second.synchronizer.onPeerRecords(first.synchronizer.records(210), 211);
  const [fingerprint = ''] = first.synchronizer.quarantine.quarantinedFingerprints;
  second.synchronizer.setReleased([fingerprint, 'unknown'], 300);
  first.synchronizer.onPeerRecords(second.frames.at(-1)?.crashRecords, 301);
  assert.ok(first.synchronizer.quarantine.suspicionOf(request, 301).crashes === 0);
  assert.is(first.stored.size, 0);
});

test('the end of a quarantine removes it from the store', () => {
  const { stored, synchronizer } = new SynchronizerFixture('a');
  for (const now of [0, 100, 200]) synchronizer.onServerCrashed([createRun(now)], now);
  assert.is(stored.size, 1);
  synchronizer.tick(600_200);
  assert.is(stored.size, 0);
});

for (const [description, value] of [
  ['bytes that are not JSON', Buffer.from([0xff])],
  ['a number', Buffer.from('1')],
  ['a record without crashes', Buffer.from('{"fingerprint":"a."}')],
  ['a record with an odd crash', Buffer.from('{"crashes":[null,{"id":"a"}],"fingerprint":"a."}')],
  ['a long value', Buffer.alloc(20_000, '[')],
] as const) {
  test(`${description} in the store is ignored`, () => {
    const { synchronizer } = new SynchronizerFixture('a');
    synchronizer.onStoredRecord(value, 0);
    assert.equal(synchronizer.records(0), []);
  });
}

const invalidRecords: readonly (readonly [string, unknown])[] = [
  ['nothing', undefined],
  ['no list', { crashes: [], fingerprint: 'a.' }],
  ['no record', [1, null, 'a']],
  ['no fingerprint', [{ crashes: [crash] }]],
  ['an empty fingerprint', [{ crashes: [crash], fingerprint: '' }]],
  ['an overlong fingerprint', [{ crashes: [crash], fingerprint: 'a'.repeat(257) }]],
  ['no crashes', [{ fingerprint: 'a.' }]],
  ['a crash without an identifier', [{ crashes: [{ ...crash, id: 1 }], fingerprint: 'a.' }]],
  ['a crash in the future', [{ crashes: [{ ...crash, ageMilliseconds: -1 }], fingerprint: 'a.' }]],
  [
    'a crash without an age',
    [{ crashes: [{ ...crash, ageMilliseconds: Number.NaN }], fingerprint: 'a.' }],
  ],
  ['a crash without a run', [{ crashes: [{ ...crash, runMilliseconds: '1' }], fingerprint: 'a.' }]],
  ['a crash without a verdict', [{ crashes: [{ ...crash, isRefuted: 0 }], fingerprint: 'a.' }]],
  ['too many crashes', [{ crashes: new Array(17).fill(crash), fingerprint: 'a.' }]],
];

for (const [description, records] of invalidRecords) {
  test(`${description} from a peer is ignored`, () => {
    const { synchronizer } = new SynchronizerFixture('a');
    synchronizer.onPeerRecords(records, 0);
    assert.equal(synchronizer.records(0), []);
  });
}

test('an invalid record costs no other one', () => {
  const { synchronizer } = new SynchronizerFixture('a');
  const record: CrashRecord = { crashes: [crash], fingerprint: 'a.' };
  synchronizer.onPeerRecords([null, record], 0);
  assert.is(synchronizer.records(0).length, 1);
});

test.run();
