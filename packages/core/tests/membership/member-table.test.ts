import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MemberState, type MemberRecord } from '../../src/index.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { maximumUpdatesPerFrame, UpdateQueue } from '../../src/membership/update-queue.js';

const now = { monotonic: 0, wall: 1_700_000_000_000 };

function record(server: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    server,
    incarnation: 5,
    availabilityZone: 'bern-a',
    region: 'ch-mittelland',
    peerAddress: '10.0.0.1:7400',
    service: 'antrag',
    slots: 6,
    state: MemberState.Serving,
    ...change,
  };
}

/** Known record, received record and whether the received one supersedes the known one. */
const precedenceCases: readonly (readonly [
  Partial<MemberRecord>,
  Partial<MemberRecord>,
  boolean,
])[] = [
  [{}, {}, false],
  [{}, { incarnation: 6 }, true],
  [{ incarnation: 6 }, { state: 'dead' }, false],
  [{}, { state: 'suspect' }, true],
  [{ state: 'suspect' }, { state: 'warming' }, false],
  [{ state: 'suspect' }, { state: 'draining' }, true],
  [{ state: 'draining' }, { state: 'suspect' }, false],
  [{ state: 'draining' }, { state: 'dead' }, true],
  [{ state: 'left' }, { state: 'dead' }, false],
  [{ state: 'dead' }, { incarnation: 6, state: 'serving' }, true],
];

for (const [known, received, isApplied] of precedenceCases) {
  test(`${JSON.stringify(received)} after ${JSON.stringify(known)}: whether it is applied depends only on the two records`, () => {
    const table = new MemberTable();
    table.apply(record('a', known), now);
    assert.is(table.apply(record('a', received), now) !== undefined, isApplied);
  });
}

const changes = fc.array(
  fc.record({
    server: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    incarnation: fc.nat(4),
    state: fc.constantFrom(...Object.values(MemberState)),
    availabilityZone: fc.constantFrom('bern-a', 'thun-c'),
  }),
  { maxLength: 40 },
);

test('digests updated incrementally equal those of a table built from the resulting records', () => {
  fc.assert(
    fc.property(changes, (records) => {
      const table = new MemberTable();
      for (const { server, ...change } of records) table.apply(record(server, change), now);
      const rebuilt = new MemberTable();
      for (const known of table.records()) rebuilt.apply(known, now);
      for (const [name, zone] of table.zones) {
        const other = rebuilt.zone(name);
        assert.is(zone.digest, other?.digest ?? 0);
        assert.equal(zone.digests, other?.digests ?? new Uint32Array(zone.digests.length));
        assert.is(zone.live.length, other?.live.length ?? 0);
        const ranked = zone.rankedMembers().map((entry) => entry.record.server);
        assert.equal(ranked, other?.rankedMembers().map((entry) => entry.record.server) ?? []);
      }
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('a departed member is kept for two hours, so that stale records do not revive it', () => {
  const table = new MemberTable();
  table.apply(record('a', { state: 'dead' }), now);
  table.removeExpiredDeparted({ ...now, monotonic: 7_199_999 });
  assert.is(table.apply(record('a'), now), undefined);
  table.removeExpiredDeparted({ ...now, monotonic: 7_200_000 });
  assert.is(table.get('a'), undefined);
});

test('a frame carries at most 10 updates, and each update is sent a bounded number of times', () => {
  const queue = new UpdateQueue();
  for (let index = 0; index < 25; index += 1) queue.add(record(`server-${index}`), 30);
  const sends = new Map<string, number>();
  for (let updates = queue.takeForFrame(); updates.length > 0; updates = queue.takeForFrame()) {
    assert.ok(updates.length <= maximumUpdatesPerFrame);
    for (const { server } of updates) sends.set(server, (sends.get(server) ?? 0) + 1);
  }
  assert.is(sends.size, 25);
  assert.ok([...sends.values()].every((count) => count === 10));
});

test.run();
