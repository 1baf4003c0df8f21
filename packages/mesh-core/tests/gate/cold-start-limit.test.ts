import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { toColdStartLimit } from '../../src/index.js';

/** Declared requests per second, ratio, slack, and the resulting maximum in any second. */
const cases: readonly (readonly [number, number, number, number])[] = [
  [9.8, 1.5, 8, 22],
  [10, 1, 0, 10],
  [10, 1.5, 0, 15],
  [0.4, 1, 0, 1],
  [0, 1.5, 0, 1],
];

for (const [requestsPerSecond, ratio, slack, expected] of cases) {
  test(`${requestsPerSecond} requests/s, times ${ratio} and plus ${slack}: at most ${expected}`, () => {
    const limit = toColdStartLimit(
      { durationMilliseconds: 3_000, requestsPerSecond },
      { ratio, slack },
    );
    assert.equal(limit, { durationMilliseconds: 3_000, maximumRequests: expected });
  });
}

test.run();
