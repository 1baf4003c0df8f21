import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SpeedState, SpeedWatch } from '../../src/gate/speed-watch.js';

type Report = readonly [at: number, slowdown: number];

/** Reports, the time of the question, and the answer. */
const cases: readonly (readonly [string, readonly Report[], number, SpeedState])[] = [
  ['nothing was reported', [], 0, 'unknown'],
  ['a fresh report of the usual speed', [[0, 1]], 20, 'fast'],
  ['an old report of the usual speed', [[0, 1]], 60, 'unknown'],
  [
    'a fresh slow moment',
    [
      [0, 1],
      [10, 5],
    ],
    20,
    'slow',
  ],
  [
    'an old slow moment',
    [
      [0, 1],
      [10, 5],
    ],
    90,
    'unknown',
  ],
  ['the first report is of a slow moment: nothing tells that it is one', [[0, 5]], 10, 'fast'],
  [
    'a server that has been slow for long is used at the speed that it has',
    [
      [0, 1],
      [100, 3],
      [1_000, 3],
      [1_700, 3],
      [1_720, 3],
    ],
    1_730,
    'fast',
  ],
  [
    'a slow moment of a server that is slow anyway',
    [
      [0, 3],
      [10, 15],
    ],
    20,
    'slow',
  ],
];

for (const [name, reports, at, expected] of cases) {
  test(`${name}: ${expected}`, () => {
    const watch = new SpeedWatch();
    for (const [time, slowdown] of reports) watch.report(slowdown, time);
    assert.is(watch.state(at), expected);
  });
}

test.run();
