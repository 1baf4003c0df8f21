import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StartRate } from '../../src/gate/start-rate.js';

test('the mean time between starts is told once a few are known', () => {
  const rate = new StartRate();
  for (const now of [0, 100, 200]) rate.started(now);
  assert.is(rate.intervalMilliseconds(200), undefined);
  rate.started(300);
  assert.is(rate.intervalMilliseconds(300), 75);
});

test('a queue that stands still has a growing interval, and old starts say nothing', () => {
  const rate = new StartRate();
  for (const now of [0, 10, 20, 30]) rate.started(now);
  assert.ok((rate.intervalMilliseconds(800) ?? 0) >= 190);
  assert.is(rate.intervalMilliseconds(2_000), undefined);
});

test.run();
