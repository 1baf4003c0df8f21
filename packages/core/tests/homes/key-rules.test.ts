import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { creationTimeOf, defaultHomeSettings as settings } from '../../src/index.js';
import { rangeOfKey } from '../../src/homes/key-hash.js';
import { isVoid, judgeNewKey, takeoverBounds } from '../../src/homes/key-rules.js';
import { keyCreatedAt } from './shared/home-checks.js';

const wall = 1_800_000_000_000;
const day = settings.retentionMilliseconds;
const none = { cutoff: undefined, voidUntil: undefined };
const taken = takeoverBounds(wall, settings);

const judgements = [
  { name: 'fresh key, first table', created: wall, bounds: none, at: wall, expected: 'run' },
  { name: 'key at the tolerance', created: wall + 500, bounds: none, at: wall, expected: 'run' },
  { name: 'future key', created: wall + 501, bounds: none, at: wall, expected: 'key-from-future' },
  { name: 'key at retention', created: wall - day, bounds: none, at: wall, expected: 'run' },
  { name: 'old key', created: wall - day - 1, bounds: none, at: wall, expected: 'key-too-old' },
  { name: 'opaque key, first table', created: undefined, bounds: none, at: wall, expected: 'run' },
  {
    name: 'at the cutoff',
    created: wall + 1_000,
    bounds: taken,
    at: wall,
    expected: 'created-before-takeover',
  },
  {
    name: 'after the cutoff',
    created: wall + 1_001,
    bounds: taken,
    at: wall + 1_001,
    expected: 'run',
  },
  // The old home's clock may have been ahead, so the cutoff is looked at before the future.
  {
    name: 'future key below the cutoff',
    created: wall + 900,
    bounds: taken,
    at: wall - 400,
    expected: 'created-before-takeover',
  },
  {
    name: 'opaque key after a takeover',
    created: undefined,
    bounds: taken,
    at: wall + day,
    expected: 'created-before-takeover',
  },
  {
    name: 'opaque key, retention over',
    created: undefined,
    bounds: taken,
    at: wall + day + 1_001,
    expected: 'run',
  },
] as const;

for (const { at, bounds, created, expected, name } of judgements) {
  test(`a key that may have run elsewhere is not run again: ${name}`, () => {
    const verdict = judgeNewKey(created, at + 10_000, bounds, at, settings);
    assert.is(verdict.kind === 'run' ? 'run' : verdict.reason, expected);
  });
}

test('an attempt that entered before a takeover can not run a key that the old home refused', () => {
  const created = wall + 2_000;
  const entered = (receivedAt: number): string =>
    judgeNewKey(created, receivedAt, taken, wall + 2_000, settings).kind;
  assert.is(entered(wall + settings.skewMilliseconds), 'refuse');
  assert.is(entered(wall + settings.skewMilliseconds + 1), 'run');
});

test('an attempt that may have entered before the refusal of its key is void', () => {
  assert.ok(isVoid(wall + settings.skewMilliseconds, wall, settings));
  assert.not.ok(isVoid(wall + settings.skewMilliseconds + 1, wall, settings));
});

test('only UUIDv7 keys have a creation time', () => {
  assert.is(creationTimeOf(keyCreatedAt(wall, 5)), wall);
  assert.is(creationTimeOf(keyCreatedAt(wall, 5).toUpperCase()), wall);
  for (const key of ['', 'order-7', '01a3185d-5ebe-4000-8000-000000000083']) {
    assert.is(creationTimeOf(key), undefined);
  }
});

test('all nodes find the same range for a key', () => {
  // First byte of SHA-256 modulo 16: e3b0…, ba78…
  assert.is(rangeOfKey(''), 0x3);
  assert.is(rangeOfKey('abc'), 0xa);
});

test.run();
