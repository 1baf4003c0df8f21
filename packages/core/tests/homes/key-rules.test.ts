import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { creationTimeOf, defaultHomeSettings as settings } from '../../src/index.js';
import { rangeOfKey } from '../../src/homes/key-hash.js';
import { isVoidAttempt, decideNewKey, takeoverBounds } from '../../src/homes/key-rules.js';
import { keyCreatedAt } from './shared/home-checks.js';

const wall = 1_800_000_000_000;
const retention = settings.retentionMilliseconds;
const noBounds = { cutoff: undefined, voidUntil: undefined };
const afterTakeover = takeoverBounds(wall, settings);

const decisions = [
  { name: 'fresh key, first table', created: wall, bounds: noBounds, at: wall, expected: 'run' },
  {
    name: 'key at the tolerance',
    created: wall + 500,
    bounds: noBounds,
    at: wall,
    expected: 'run',
  },
  {
    name: 'future key',
    created: wall + 501,
    bounds: noBounds,
    at: wall,
    expected: 'key-from-future',
  },
  {
    name: 'key at retention',
    created: wall - retention,
    bounds: noBounds,
    at: wall,
    expected: 'run',
  },
  {
    name: 'old key',
    created: wall - retention - 1,
    bounds: noBounds,
    at: wall,
    expected: 'key-too-old',
  },
  {
    name: 'opaque key, first table',
    created: undefined,
    bounds: noBounds,
    at: wall,
    expected: 'run',
  },
  {
    name: 'at the cutoff',
    created: wall + 1_000,
    bounds: afterTakeover,
    at: wall,
    expected: 'created-before-takeover',
  },
  {
    name: 'after the cutoff',
    created: wall + 1_001,
    bounds: afterTakeover,
    at: wall + 1_001,
    expected: 'run',
  },
  // The clock of the earlier home may have been ahead, so the cutoff is checked before the future
  // limit.
  {
    name: 'future key below the cutoff',
    created: wall + 900,
    bounds: afterTakeover,
    at: wall - 400,
    expected: 'created-before-takeover',
  },
  {
    name: 'opaque key after a takeover',
    created: undefined,
    bounds: afterTakeover,
    at: wall + retention,
    expected: 'created-before-takeover',
  },
  {
    name: 'opaque key, retention over',
    created: undefined,
    bounds: afterTakeover,
    at: wall + retention + 1_001,
    expected: 'run',
  },
] as const;

for (const { at, bounds, created, expected, name } of decisions) {
  test(`a key that may have run elsewhere is not run again: ${name}`, () => {
    const verdict = decideNewKey(created, at + 10_000, bounds, at, settings);
    assert.is(verdict.kind === 'run' ? 'run' : verdict.reason, expected);
  });
}

test('an attempt received before a takeover can not run a key that the earlier home refused', () => {
  const created = wall + 2_000;
  const entered = (receivedAt: number): string =>
    decideNewKey(created, receivedAt, afterTakeover, wall + 2_000, settings).kind;
  assert.is(entered(wall + settings.maximumClockSkewMilliseconds), 'refuse');
  assert.is(entered(wall + settings.maximumClockSkewMilliseconds + 1), 'run');
});

test('an attempt that may have been received before the refusal of its key is void', () => {
  assert.ok(isVoidAttempt(wall + settings.maximumClockSkewMilliseconds, wall, settings));
  assert.not.ok(isVoidAttempt(wall + settings.maximumClockSkewMilliseconds + 1, wall, settings));
});

test('only UUIDv7 keys have a creation time', () => {
  assert.is(creationTimeOf(keyCreatedAt(wall, 5)), wall);
  assert.is(creationTimeOf(keyCreatedAt(wall, 5).toUpperCase()), wall);
  for (const key of ['', 'order-7', '01a3185d-5ebe-4000-8000-000000000083']) {
    assert.is(creationTimeOf(key), undefined);
  }
});

test('all nodes compute the same range for a key', () => {
  // The first byte of the SHA-256 modulo 16. The hashes start with e3b0… and ba78….
  assert.is(rangeOfKey(''), 0x3);
  assert.is(rangeOfKey('abc'), 0xa);
});

test.run();
