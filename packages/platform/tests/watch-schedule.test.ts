import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { watchHoldMilliseconds } from '../src/key-values/watch-schedule.js';

const propagationMilliseconds = 2_000;
const maximumHoldMilliseconds = 30_000;
/** Time to wait for an overdue response, and the time of a read. */
const overdueMilliseconds = 0.3 * propagationMilliseconds;
const dayMilliseconds = 600_000;
const responseMilliseconds = 3;

/** The starts of the watches of nodes that began at different times. */
function watchStarts(count: number): readonly number[] {
  const starts: number[] = [];
  for (let index = 0; index < count; index += 1) {
    let now = 100_000 + index * 137;
    while (now < 100_000 + dayMilliseconds) {
      starts.push(now);
      const hold = watchHoldMilliseconds({ count, index }, propagationMilliseconds, now);
      assert.ok(hold >= 0 && hold <= maximumHoldMilliseconds, `holds ${hold} ms`);
      now += hold + responseMilliseconds;
    }
  }
  return starts.sort((first, second) => first - second);
}

for (const count of [1, 2, 4, 6, 12]) {
  test(`with ${count} watching nodes, one asks the store anew in time for a change that all watches miss`, () => {
    const starts = watchStarts(count).filter((time) => time > 140_000 && time < 600_000);
    for (const [index, time] of starts.slice(1).entries()) {
      const gap = time - (starts[index] ?? 0);
      assert.ok(gap + overdueMilliseconds <= propagationMilliseconds, `${gap} ms`);
    }
  });
}

for (const count of [6, 12, 44]) {
  test(`${count} watching nodes ask no more often than with a hold of two and a half propagation bounds`, () => {
    const earlierHold = 2.5 * propagationMilliseconds;
    assert.ok(watchStarts(count).length <= (count * dayMilliseconds) / earlierHold);
  });
}

test.run();
