import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SpeedState, ServerSpeedTracker } from '../../src/gate/server-speed-tracker.js';

type Report = readonly [at: number, slowdown: number];

/** Name, reports, time of the query, and the expected state. */
const cases: readonly (readonly [string, readonly Report[], number, SpeedState])[] = [
  ['no report', [], 0, 'unknown'],
  ['a recent report of normal speed', [[0, 1]], 20, 'fast'],
  ['an old report of normal speed', [[0, 1]], 60, 'unknown'],
  [
    'a recent report of a slowdown',
    [
      [0, 1],
      [10, 5],
    ],
    20,
    'slow',
  ],
  [
    'an old report of a slowdown',
    [
      [0, 1],
      [10, 5],
    ],
    90,
    'unknown',
  ],
  ['a first report during a slowdown, which has no baseline to compare with', [[0, 5]], 10, 'fast'],
  [
    'a server that has been slow for long, whose current speed is the new baseline',
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
    'a slowdown of a server that is permanently slow',
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
    const tracker = new ServerSpeedTracker();
    for (const [time, slowdown] of reports) tracker.recordSlowdown(slowdown, time);
    assert.is(tracker.state(at), expected);
  });
}

test.run();
