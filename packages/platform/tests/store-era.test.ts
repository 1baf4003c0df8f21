import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StoreEra } from '../src/key-values/index.js';

type Note = readonly [at: number, era: number | undefined, finding: string];

const cases: readonly (readonly [string, readonly Note[], number | undefined])[] = [
  [
    'a store that tells no era',
    [
      [0, undefined, 'current'],
      [1, undefined, 'current'],
    ],
    undefined,
  ],
  [
    'the first era is no return',
    [
      [0, 7, 'current'],
      [1, 7, 'current'],
    ],
    7,
  ],
  [
    'a higher era is a return',
    [
      [0, 7, 'current'],
      [1, 8, 'restored'],
      [2, 8, 'current'],
    ],
    8,
  ],
  [
    'returns that nobody saw',
    [
      [0, 7, 'current'],
      [1, 11, 'restored'],
    ],
    11,
  ],
  [
    'an old read after a return',
    [
      [0, 7, 'current'],
      [1, 8, 'restored'],
      [2, 7, 'outdated'],
    ],
    8,
  ],
  [
    'an answer that lacks it',
    [
      [0, 7, 'current'],
      [1, undefined, 'current'],
      [2, 8, 'restored'],
    ],
    8,
  ],
  [
    'old reads in between do not add up',
    [
      [0, 8, 'current'],
      [1, 7, 'outdated'],
      [9_000, 8, 'current'],
      [12_000, 7, 'outdated'],
    ],
    8,
  ],
  [
    'a count that began anew, or an era that was wrong, holds for ten seconds',
    [
      [0, 900, 'current'],
      [1, 3, 'outdated'],
      [9_000, 3, 'outdated'],
      [10_001, 3, 'restored'],
    ],
    3,
  ],
];

for (const [name, notes, expected] of cases) {
  test(name, () => {
    const era = new StoreEra();
    for (const [at, told, finding] of notes) assert.is(era.note(told, at), finding, `at ${at}`);
    assert.is(era.current, expected);
  });
}

test.run();
