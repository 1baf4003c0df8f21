import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AllotmentPool } from '../../src/allotments/allotment-pool.js';
import { grantMilliseconds, loanMilliseconds } from '../../src/allotments/allotment-timing.js';
import type { AllotmentAskFrame, AllotmentNeed } from '../../src/messages/allotment-frames.js';

const bounds = { capacity: 10, requestsPerMillisecond: 0.01 };
let lastNumber = 0;

function createPool(): AllotmentPool {
  const pool = new AllotmentPool(0, () => false);
  pool.configure(new Map([['shop', bounds]]), 0);
  return pool;
}

function ask(
  needs: readonly AllotmentNeed[],
  changes: Partial<AllotmentAskFrame> = {},
): AllotmentAskFrame {
  lastNumber += 1;
  return {
    group: 0,
    isReturning: false,
    kind: 'allotment-ask',
    needs,
    number: lastNumber,
    shareCount: 0,
    ...changes,
  };
}

function lend(stamp: number, shareCount = 2): AllotmentAskFrame {
  return ask([], { shareCount, stamp });
}

function totalOf(pool: AllotmentPool, node: string, need: AllotmentNeed, now: number): number {
  return pool.answer(node, 1, ask([need]), now)?.grants[0]?.[1] ?? -1;
}

// Two brokers that both use a share would exceed the allotment.
test('a loan counts from before the lender was asked, so a delayed message ends it sooner', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000), 1_000 + loanMilliseconds - 1);
  assert.is(pool.share, 0.5);
  assert.is(totalOf(pool, 'node', ['shop', 0, 1, 0, 0], 1_000 + loanMilliseconds), 0);
  assert.is(pool.share, 0);
  pool.answer('lender', 1, lend(1_000), 1_000 + loanMilliseconds);
  assert.is(pool.share, 0);
});

test('a stamp of the future, of an earlier process of the broker, lends nothing', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(50_000), 1_000);
  assert.is(pool.share, 0);
});

test('a message that a later one overtook revives no loan that was returned', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000), 1_000);
  const overtaken = lend(1_000);
  assert.ok(pool.answer('lender', 1, ask([], { isReturning: true }), 1_100)?.isReturned);
  assert.is(pool.answer('lender', 1, overtaken, 1_200), undefined);
  assert.is(pool.answer('lender', 1, overtaken, 1_000 + grantMilliseconds + 500), undefined);
  assert.is(pool.share, 0);
});

test('grants that are not used count towards the capacity until they expire', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  assert.is(totalOf(pool, 'first', ['shop', 0, 8, 0, 0], 2_500), 8);
  // 7 refilled and 2 were left, but with the 8 that are outstanding only 2 are within the capacity.
  pool.answer('lender', 1, lend(2_500, 1), 3_000);
  assert.is(totalOf(pool, 'second', ['shop', 0, 8, 0, 0], 3_200), 2);
});

test('what a node reports as used makes room for others', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  totalOf(pool, 'first', ['shop', 0, 8, 0, 0], 2_200);
  pool.answer('lender', 1, lend(2_200, 1), 2_300);
  totalOf(pool, 'first', ['shop', 0, 0, 0, 0], 2_400);
  assert.is(totalOf(pool, 'second', ['shop', 0, 8, 0, 0], 3_000), 8);
});

test('a grant is not renewed once the broker has let it expire', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  totalOf(pool, 'node', ['shop', 0, 8, 0, 0], 2_200);
  assert.is(totalOf(pool, 'node', ['shop', 8, 0, 0, 0], 2_200 + grantMilliseconds), 0);
});

test('nothing is granted from loans that a grant would outlast', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  const now = 1_000 + loanMilliseconds - grantMilliseconds + 1;
  assert.is(totalOf(pool, 'node', ['shop', 0, 1, 0, 0], now), 0);
});

test('a share is not returned while grants depend on it', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  totalOf(pool, 'node', ['shop', 0, 8, 0, 0], 2_200);
  const returning = ask([], { isReturning: true });
  assert.is(pool.answer('lender', 1, returning, 2_300)?.isReturned, false);
  const later = ask([], { isReturning: true });
  assert.is(pool.answer('lender', 1, later, 2_200 + grantMilliseconds)?.isReturned, true);
});

test('a lower limit applies to what was saved up', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  pool.configure(new Map([['shop', { capacity: 2, requestsPerMillisecond: 0.001 }]]), 2_200);
  assert.is(totalOf(pool, 'node', ['shop', 0, 8, 0, 0], 2_200), 2);
});

test('a higher limit applies from now on', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  pool.configure(new Map([['shop', { capacity: 40, requestsPerMillisecond: 0.04 }]]), 2_000);
  assert.is(totalOf(pool, 'node', ['shop', 0, 40, 0, 0], 2_500), 30);
});

// Nodes that have the last requests in stock would refuse others below the limit.
test('ahead of need only a part of what is left is granted', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  assert.is(totalOf(pool, 'node', ['shop', 0, 0, 10, 0], 2_500), 1);
});

test('when the clock may have missed time, all loans end', () => {
  const pool = createPool();
  pool.answer('lender', 1, lend(1_000, 1), 1_000);
  pool.reset(1_500);
  assert.is(pool.share, 0);
  pool.answer('lender', 1, lend(1_000, 1), 1_600);
  assert.is(pool.share, 0);
});

test.run();
