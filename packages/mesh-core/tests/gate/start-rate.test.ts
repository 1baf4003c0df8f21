import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StartRate } from '../../src/gate/start-rate.js';

test('returns the mean interval once there are enough starts', () => {
  const rate = new StartRate();
  for (const now of [0, 100, 200]) rate.recordStart(now);
  assert.is(rate.intervalMilliseconds(200), undefined);
  rate.recordStart(300);
  assert.is(rate.intervalMilliseconds(300), 75);
});

test('returns a growing interval while nothing starts, and ignores old starts', () => {
  const rate = new StartRate();
  for (const now of [0, 10, 20, 30]) rate.recordStart(now);
  assert.ok((rate.intervalMilliseconds(800) ?? 0) >= 190);
  assert.is(rate.intervalMilliseconds(2_000), undefined);
});

test.run();
