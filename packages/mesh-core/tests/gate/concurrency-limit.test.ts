import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConcurrencyLimit } from '../../src/gate/concurrency-limit.js';

/** Slots, relative service time of requests that start in the last fifth of them, and the resulting limit. */
const cases: readonly (readonly [number, number, number])[] = [
  [9, 1.7, 7],
  [9, 1.4, 7],
  [9, 1, 9],
  [6, 1.1, 6],
  [6, 1.7, 4],
  [1, 1, 1],
];

for (const [slots, ratio, limit] of cases) {
  test(`with ${slots} slots and requests that take ${ratio} times as long when nearly full, uses ${limit}`, () => {
    const concurrencyLimit = new ConcurrencyLimit();
    for (let round = 0; round < 60; round += 1) {
      for (let running = 1; running <= slots; running += 1) {
        concurrencyLimit.recordResponse(slots, running, running > slots * 0.8 ? ratio : 1);
      }
    }
    assert.is(concurrencyLimit.limit(slots), limit);
  });
}

test('leaves out the slots that requests of an earlier incarnation of the gate still hold', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  concurrencyLimit.recordServerRunning(5, 2);
  assert.is(concurrencyLimit.limit(6), 3);
  concurrencyLimit.recordServerRunning(2, 2);
  assert.is(concurrencyLimit.limit(6), 6);
  concurrencyLimit.recordServerRunning(40, 0);
  assert.is(concurrencyLimit.limit(6), 1);
});

// After a restart of all machines, the gates used all slots of the cold servers, and only 7 of 246 requests met
// their target.
test('does not use the last slots of a cold server before it is known whether they slow it down', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  concurrencyLimit.setCold(true);
  assert.is(concurrencyLimit.limit(9), 7);
  concurrencyLimit.setCold(false);
  assert.is(concurrencyLimit.limit(9), 9);
  for (let running = 1; running <= 9; running += 1) {
    for (let round = 0; round < 20; round += 1) concurrencyLimit.recordResponse(9, running, 1);
  }
  concurrencyLimit.setCold(true);
  assert.is(concurrencyLimit.limit(9), 9);
});

test.run();
