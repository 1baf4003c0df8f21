import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StoreEraTracker } from '../src/key-values/index.js';

type Observation = readonly [at: number, era: number | undefined, status: string];

const cases: readonly (readonly [string, readonly Observation[], number | undefined])[] = [
  [
    'a store that reports no era',
    [
      [0, undefined, 'current'],
      [1, undefined, 'current'],
    ],
    undefined,
  ],
  [
    'the first era is not a restore',
    [
      [0, 7, 'current'],
      [1, 7, 'current'],
    ],
    7,
  ],
  [
    'a higher era is a restore',
    [
      [0, 7, 'current'],
      [1, 8, 'restored'],
      [2, 8, 'current'],
    ],
    8,
  ],
  [
    'several restores between two responses',
    [
      [0, 7, 'current'],
      [1, 11, 'restored'],
    ],
    11,
  ],
  [
    'a stale read after a restore',
    [
      [0, 7, 'current'],
      [1, 8, 'restored'],
      [2, 7, 'outdated'],
    ],
    8,
  ],
  [
    'a response without an era',
    [
      [0, 7, 'current'],
      [1, undefined, 'current'],
      [2, 8, 'restored'],
    ],
    8,
  ],
  [
    'stale reads between current responses do not accumulate',
    [
      [0, 8, 'current'],
      [1, 7, 'outdated'],
      [9_000, 8, 'current'],
      [12_000, 7, 'outdated'],
    ],
    8,
  ],
  [
    'a restarted count of eras, or one after an invalid era, is accepted after ten seconds',
    [
      [0, 900, 'current'],
      [1, 3, 'outdated'],
      [9_000, 3, 'outdated'],
      [10_001, 3, 'restored'],
    ],
    3,
  ],
];

for (const [name, observations, expected] of cases) {
  test(name, () => {
    const tracker = new StoreEraTracker();
    for (const [at, reportedEra, status] of observations)
      assert.is(tracker.observe(reportedEra, at), status, `at ${at}`);
    assert.is(tracker.current, expected);
  });
}

test.run();
