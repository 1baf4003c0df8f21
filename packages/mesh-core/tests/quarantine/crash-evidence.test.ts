import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  CrashEvidence,
  evidenceRetentionMilliseconds,
  quarantineCrashes,
} from '../../src/quarantine/crash-evidence.js';

/** A server crashes at the time given after it has run the request for some time. */
function crash(
  evidence: CrashEvidence,
  fingerprint: string,
  id: string,
  now: number,
  run = 1,
): boolean {
  return evidence.add(fingerprint, { ageMilliseconds: 0, id, runMilliseconds: run }, now);
}

function quarantine(evidence: CrashEvidence, fingerprint: string, now: number): void {
  for (let index = 0; index < quarantineCrashes; index += 1)
    crash(evidence, fingerprint, `${fingerprint}/${index}`, now + index);
}

test('a request is quarantined after the third crash, until the third youngest no longer counts', () => {
  const evidence = new CrashEvidence();
  crash(evidence, 'a.', 'crash-1', 0);
  crash(evidence, 'a.', 'crash-2', 100);
  assert.is(evidence.quarantinedUntil('a.', 100), undefined);
  crash(evidence, 'a.', 'crash-3', 200);
  assert.is(evidence.quarantinedUntil('a.', 200), evidenceRetentionMilliseconds);
  crash(evidence, 'a.', 'crash-4', 300);
  assert.is(evidence.quarantinedUntil('a.', 300), evidenceRetentionMilliseconds + 100);
  assert.is(evidence.quarantinedUntil('a.', evidenceRetentionMilliseconds + 100), undefined);
});

test('servers that crash at the same time count once against a request that ran on all of them', () => {
  for (const run of [1, 10, 200]) {
    const evidence = new CrashEvidence();
    for (const id of ['crash-1', 'crash-2', 'crash-3', 'crash-4'])
      crash(evidence, 'a.', id, 1_000, run);
    assert.is(evidence.countOf('a.', 1_000), 1);
    crash(evidence, 'a.', 'crash-5', 1_000 + run, run);
    assert.is(evidence.countOf('a.', 1_000 + run), 2);
  }
});

test('the same crash counts once, whoever reports it', () => {
  const evidence = new CrashEvidence();
  crash(evidence, 'a.', 'crash-1', 0);
  const record = evidence.recordOf('a.', 50);
  assert.not(evidence.merge(record, 60));
  assert.not(crash(evidence, 'a.', 'crash-1', 70));
  assert.is(evidence.countOf('a.', 70), 1);
});

test('three nodes that saw one crash each know together as much as one that saw all', () => {
  const nodes = ['crash-1', 'crash-2', 'crash-3'].map((id, index) => {
    const evidence = new CrashEvidence();
    crash(evidence, 'a.', id, index);
    return evidence;
  });
  const [first, ...others] = nodes;
  for (const other of others) first?.merge(other.recordOf('a.', 5), 6);
  assert.ok(first?.quarantinedUntil('a.', 6));
});

test('a refutation takes the crashes before it from the count, and later ones count', () => {
  const evidence = new CrashEvidence();
  crash(evidence, 'innocent.', 'crash-1', 0);
  crash(evidence, 'innocent.', 'crash-2', 5);
  assert.ok(evidence.refute('innocent.'));
  assert.is(evidence.countOf('innocent.', 10), 0);
  crash(evidence, 'innocent.', 'crash-3', 20);
  assert.is(evidence.countOf('innocent.', 20), 1);
  quarantine(evidence, 'guilty.', 0);
  assert.ok(evidence.refute('guilty.'));
  assert.not(evidence.refute('guilty.'));
  assert.is(evidence.quarantinedUntil('guilty.', 10), undefined);
});

test('a flood of distinct requests displaces no quarantined one, and the memory is bounded', () => {
  const evidence = new CrashEvidence();
  quarantine(evidence, 'guilty.', 0);
  for (let request = 0; request < 2_000; request += 1)
    crash(evidence, `r${request}.`, `crash-${request}`, 1_000 + request);
  assert.ok(evidence.quarantinedUntil('guilty.', 4_000));
  assert.is(evidence.fingerprints(4_000).length, 512);
  assert.not(evidence.hasHead('r0'));
  assert.ok(evidence.hasHead('r1999'));
});

test('what no longer counts is forgotten, also if a peer sends it again', () => {
  const evidence = new CrashEvidence();
  crash(evidence, 'a.', 'crash-1', 0);
  const record = evidence.recordOf('a.', evidenceRetentionMilliseconds);
  evidence.removeExpired(evidenceRetentionMilliseconds);
  assert.ok(evidence.isEmpty);
  assert.not(evidence.hasHead('a'));
  assert.not(evidence.merge(record, evidenceRetentionMilliseconds));
  assert.ok(evidence.isEmpty);
});

test('records may be merged in any order and repeatedly', () => {
  const report = fc.record({
    ageMilliseconds: fc.integer({ max: 1_000, min: 0 }),
    id: fc.constantFrom('crash-1', 'crash-2', 'crash-3', 'crash-4'),
    isRefuted: fc.boolean(),
    runMilliseconds: fc.constant(100),
  });
  const record = fc.record({
    crashes: fc.array(report, { maxLength: 3 }),
    fingerprint: fc.constantFrom('a.', 'b.'),
  });
  const records = fc.array(record, { maxLength: 8 });
  const property = fc.property(
    records.chain((list) =>
      fc.tuple(fc.constant(list), fc.shuffledSubarray([...list, ...list], { minLength: 0 })),
    ),
    ([list, shuffled]) => {
      const [ordered, reordered] = [new CrashEvidence(), new CrashEvidence()];
      for (const entry of list) ordered.merge(entry, 2_000);
      for (const entry of [...shuffled, ...list].reverse()) reordered.merge(entry, 2_000);
      for (const fingerprint of ['a.', 'b.']) {
        assert.is(
          reordered.quarantinedUntil(fingerprint, 2_000),
          ordered.quarantinedUntil(fingerprint, 2_000),
        );
      }
    },
  );
  fc.assert(property, { numRuns: 500, seed: 7 });
});

test.run();
