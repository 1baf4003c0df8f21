import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StartIntervalEstimator } from '../../src/gate/start-interval-estimator.js';

test('returns the mean interval once there are enough starts', () => {
  const estimator = new StartIntervalEstimator();
  for (const now of [0, 100, 200]) estimator.recordStart(now);
  assert.is(estimator.intervalMilliseconds(200), undefined);
  estimator.recordStart(300);
  assert.is(estimator.intervalMilliseconds(300), 75);
});

test('returns a growing interval while nothing starts, and ignores old starts', () => {
  const estimator = new StartIntervalEstimator();
  for (const now of [0, 10, 20, 30]) estimator.recordStart(now);
  assert.ok((estimator.intervalMilliseconds(800) ?? 0) >= 190);
  assert.is(estimator.intervalMilliseconds(2_000), undefined);
});

test.run();
