import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestQuarantine } from '../../src/index.js';
import type { RequestIdentity } from '../../src/index.js';
import { evidenceRetentionMilliseconds } from '../../src/quarantine/crash-evidence.js';

function createQuarantine(): { quarantine: RequestQuarantine; changes: boolean[] } {
  const changes: boolean[] = [];
  const quarantine = new RequestQuarantine({
    digest: (content) => Buffer.from(content).toString('hex'),
    onQuarantineChanged: (_fingerprint, isQuarantined) => changes.push(isQuarantined),
  });
  return { changes, quarantine };
}

function createIdentity(changes: Partial<RequestIdentity> = {}): RequestIdentity {
  return {
    callerService: 'web',
    headers: [['host', 'a.example']],
    method: 'GET',
    path: '/1',
    ...changes,
  };
}

function crashThreeTimes(quarantine: RequestQuarantine, request: RequestIdentity): void {
  for (const crashedAt of [-2, -1, 0])
    quarantine.recordCrash(`crash ${crashedAt}`, [{ crashedAt, request, runMilliseconds: 1 }], 0);
}

/** Requests beside one that is quarantined, and whether they are the same request. */
const comparedRequests: readonly (readonly [string, Partial<RequestIdentity>, boolean])[] = [
  ['an equal request', {}, true],
  [
    'one with other header fields',
    {
      headers: [
        ['a', 'b'],
        ['host', 'a.example'],
      ],
    },
    true,
  ],
  ['one with an empty body', { body: new Uint8Array() }, true],
  ['one with a body', { body: Buffer.from('body') }, false],
  ['one with another path', { path: '/1?a=b' }, false],
  ['one with another method', { method: 'POST' }, false],
  ['one to another host', { headers: [['host', 'b.example']] }, false],
  ['one of another caller', { callerService: 'shop' }, false],
];

for (const [description, changes, isSame] of comparedRequests) {
  test(`${description} is ${isSame ? '' : 'not '}the quarantined request`, () => {
    const { quarantine } = createQuarantine();
    crashThreeTimes(quarantine, createIdentity());
    const { quarantinedUntil } = quarantine.suspicionOf(createIdentity(changes), 1);
    assert.is(quarantinedUntil !== undefined, isSame);
  });
}

test('bodies distinguish requests', () => {
  const { quarantine } = createQuarantine();
  crashThreeTimes(quarantine, createIdentity({ body: Buffer.from('a') }));
  const suspicionOf = (body: string): number =>
    quarantine.suspicionOf(createIdentity({ body: Buffer.from(body) }), 1).crashes;
  assert.equal([suspicionOf('a'), suspicionOf('b')], [3, 0]);
});

test('a request is isolated from the second crash on, and quarantined from the third', () => {
  const { changes, quarantine } = createQuarantine();
  const states: unknown[] = [];
  for (const crashedAt of [-2, -1, 0]) {
    const run = { crashedAt, request: createIdentity(), runMilliseconds: 1 };
    quarantine.recordCrash(`crash ${crashedAt}`, [run], 0);
    const { isIsolated, quarantinedUntil } = quarantine.suspicionOf(createIdentity(), 0);
    states.push([isIsolated, quarantinedUntil !== undefined]);
  }
  assert.equal(states, [
    [false, false],
    [true, false],
    [true, true],
  ]);
  assert.equal(changes, [true]);
});

test('a completed run refutes the crashes of a suspected request, but not those of a quarantined one', () => {
  const { changes, quarantine } = createQuarantine();
  const [innocent, guilty] = [createIdentity({ path: '/2' }), createIdentity()];
  for (const crashedAt of [-2, -1])
    quarantine.recordCrash(
      `early ${crashedAt}`,
      [{ crashedAt, request: innocent, runMilliseconds: 1 }],
      0,
    );
  crashThreeTimes(quarantine, guilty);
  quarantine.recordCompletion(innocent, 5);
  quarantine.recordCompletion(guilty, 5);
  assert.is(quarantine.suspicionOf(innocent, 6).crashes, 0);
  assert.is(quarantine.suspicionOf(guilty, 6).crashes, 3);
  assert.equal(changes, [true]);
});

test('news are announced once, those of quarantined requests first, and at a bounded rate', () => {
  const { quarantine } = createQuarantine();
  const innocent = Array.from({ length: 60 }, (_, index) => createIdentity({ path: `/i${index}` }));
  for (const crash of [1, 2, 3, 4, 5]) {
    const runs = innocent.map(({ path }) => ({
      crashedAt: 0,
      request: createIdentity({ path: `${path}-${crash}` }),
      runMilliseconds: 1,
    }));
    quarantine.recordCrash(`x${crash}`, runs, 0);
  }
  crashThreeTimes(quarantine, createIdentity());
  const first = quarantine.takeAnnouncements(0);
  assert.is(first[0]?.crashes.length, 3);
  assert.is(first.length, 128);
  assert.is(quarantine.takeAnnouncements(1_000).length, 8);
});

test('another node that merges the records comes to the same result, and announces only news', () => {
  const [first, second] = [createQuarantine(), createQuarantine()];
  crashThreeTimes(first.quarantine, createIdentity());
  second.quarantine.merge(first.quarantine.records(5), 6);
  assert.ok(second.quarantine.suspicionOf(createIdentity(), 6).quarantinedUntil);
  assert.is(second.quarantine.takeAnnouncements(6).length, 1);
  second.quarantine.merge(first.quarantine.records(7), 8);
  assert.equal(second.quarantine.takeAnnouncements(8), []);
});

test('a released request is quarantined no longer, on other nodes too', () => {
  const [first, second] = [createQuarantine(), createQuarantine()];
  crashThreeTimes(first.quarantine, createIdentity());
  second.quarantine.merge(first.quarantine.records(5), 6);
  const [fingerprint = ''] = first.quarantine.quarantinedFingerprints;
  assert.ok(first.quarantine.release(fingerprint, 10));
  second.quarantine.merge(first.quarantine.records(11), 12);
  assert.is(second.quarantine.suspicionOf(createIdentity(), 12).crashes, 0);
  assert.equal(second.changes, [true, false]);
});

// Regression: a node that watches the store ended such a quarantine and removed its record, and after a restart of all nodes
// the request crashed three more servers.
test('a quarantine does not end because crashes turn out to overlap', () => {
  const { changes, quarantine } = createQuarantine();
  const request = createIdentity();
  for (const [id, crashedAt] of [
    ['first', 1_000],
    ['second', 1_007],
    ['third', 2_000],
  ] as const)
    quarantine.recordCrash(id, [{ crashedAt, request, runMilliseconds: 8 }], 2_000);
  assert.equal(changes, [true]);
  const [fingerprint = ''] = quarantine.quarantinedFingerprints;
  const second = { ageMilliseconds: 1_000, id: 'second', isRefuted: false, runMilliseconds: 8 };
  quarantine.merge([{ crashes: [second], fingerprint }], 2_001);
  quarantine.tick(2_002);
  quarantine.recordCompletion(request, 2_003);
  assert.equal(changes, [true]);
  assert.ok(quarantine.suspicionOf(request, 2_004).quarantinedUntil !== undefined);
  quarantine.release(fingerprint, 2_005);
  assert.equal(changes, [true, false]);
});

test('a quarantine of crashes that overlap ends in time', () => {
  const { changes, quarantine } = createQuarantine();
  const request = createIdentity();
  for (const crashedAt of [1_000, 1_007, 2_000])
    quarantine.recordCrash(`${crashedAt}`, [{ crashedAt, request, runMilliseconds: 8 }], 2_000);
  const [fingerprint = ''] = quarantine.quarantinedFingerprints;
  const second = { ageMilliseconds: 1_000, id: '1007', isRefuted: false, runMilliseconds: 8 };
  quarantine.merge([{ crashes: [second], fingerprint }], 2_001);
  quarantine.tick(2_000 + evidenceRetentionMilliseconds);
  assert.equal(changes, [true, false]);
});

test('without any crash, no request is hashed', () => {
  let hashes = 0;
  const quarantine = new RequestQuarantine({
    digest: () => `${(hashes += 1)}`,
    onQuarantineChanged: () => undefined,
  });
  quarantine.suspicionOf(createIdentity(), 0);
  quarantine.recordCompletion(createIdentity(), 0);
  assert.is(hashes, 0);
});

test.run();
