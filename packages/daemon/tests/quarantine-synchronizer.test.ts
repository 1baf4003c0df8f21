import type { CrashRecord, VersionFrame } from '@peridotspring/mesh-core';
import { createNode, createStartFrame } from '@peridotspring/mesh-core/fixtures';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { QuarantineSynchronizer } from '../src/mesh/quarantine-synchronizer.js';

/** A synchronizer with recorded output. */
class SynchronizerFixture {
  public readonly events: string[] = [];
  public readonly frames: VersionFrame[] = [];
  public readonly synchronizer: QuarantineSynchronizer;

  public constructor(name: string) {
    this.synchronizer = new QuarantineSynchronizer({
      configurationVersion: () => 1,
      connections: () => ({
        broadcast: (frame) => {
          if (frame.kind === 'version') this.frames.push(frame);
        },
      }),
      log: (event) => this.events.push(event),
      onQuarantineChanged: () => undefined,
      self: createNode(name),
    });
  }
}

const request = createStartFrame({ path: '/bad' });
const crash = { ageMilliseconds: 5, id: 'a/1/1', isRefuted: false };

test('crashes that three nodes saw, one each, quarantine the request on all of them', () => {
  const fixtures = ['a', 'b', 'c'].map((name) => new SynchronizerFixture(name));
  for (const { synchronizer } of fixtures) synchronizer.onServerCrashed([request], 0);
  for (const { frames } of fixtures)
    for (const { synchronizer } of fixtures) synchronizer.onPeerRecords(frames[0]?.crashRecords, 2);
  for (const { events, synchronizer } of fixtures) {
    assert.ok(synchronizer.quarantine.suspicionOf(request, 2).quarantinedUntil);
    assert.equal(events, ['request-quarantined']);
  }
});

test('a node that restarts learns from the first message of a peer', () => {
  const [peer, restarted] = [new SynchronizerFixture('a'), new SynchronizerFixture('b')];
  for (const now of [0, 1, 2]) peer.synchronizer.onServerCrashed([request], now);
  restarted.synchronizer.onPeerRecords(peer.synchronizer.records(10), 11);
  assert.ok(restarted.synchronizer.quarantine.suspicionOf(request, 11).quarantinedUntil);
});

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
  ['a crash without a verdict', [{ crashes: [{ ...crash, isRefuted: 0 }], fingerprint: 'a.' }]],
  ['too many crashes', [{ crashes: new Array(17).fill(crash), fingerprint: 'a.' }]],
];

for (const [description, records] of invalidRecords) {
  test(`${description} from a peer is ignored`, () => {
    const { synchronizer } = new SynchronizerFixture('a');
    synchronizer.onPeerRecords(records, 0);
    assert.ok(synchronizer.quarantine.isEmpty);
  });
}

test('an invalid record costs no other one', () => {
  const { synchronizer } = new SynchronizerFixture('a');
  const record: CrashRecord = { crashes: [crash], fingerprint: 'a.' };
  synchronizer.onPeerRecords([null, record], 0);
  assert.is(synchronizer.records(0).length, 1);
});

test.run();
