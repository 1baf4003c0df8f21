import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConcurrencyBound } from '../../src/gate/concurrency-bound.js';

/** Slots, how much longer requests take that start in the last fifth, and the limit in the end. */
const cases: readonly (readonly [number, number, number])[] = [
  [9, 1.7, 7],
  [9, 1.4, 7],
  [9, 1, 9],
  [6, 1.1, 6],
  [6, 1.7, 4],
  [1, 1, 1],
];

for (const [slots, ratio, limit] of cases) {
  test(`${slots} slots, ${ratio} times as long when nearly full: ${limit} are used`, () => {
    const bound = new ConcurrencyBound();
    for (let round = 0; round < 60; round += 1) {
      for (let running = 1; running <= slots; running += 1) {
        bound.answered(slots, running, running > slots * 0.8 ? ratio : 1);
      }
    }
    assert.is(bound.limit(slots), limit);
  });
}

test('slots that an earlier life of the gate still uses are left free', () => {
  const bound = new ConcurrencyBound();
  bound.reported(5, 2);
  assert.is(bound.limit(6), 3);
  bound.reported(2, 2);
  assert.is(bound.limit(6), 6);
  bound.reported(40, 0);
  assert.is(bound.limit(6), 1);
});

// After the restart of all machines, gates ran cold servers with all slots: 7 of 246 requests were in time.
test('what a cold server does when it is nearly full is not tried out', () => {
  const bound = new ConcurrencyBound();
  bound.setCold(true);
  assert.is(bound.limit(9), 7);
  bound.setCold(false);
  assert.is(bound.limit(9), 9);
  for (let running = 1; running <= 9; running += 1) {
    for (let round = 0; round < 20; round += 1) bound.answered(9, running, 1);
  }
  bound.setCold(true);
  assert.is(bound.limit(9), 9);
});

test.run();
