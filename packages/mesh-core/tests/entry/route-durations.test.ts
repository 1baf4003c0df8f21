import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteDurations } from '../../src/entry/route-durations.js';

test('the longest recent duration counts, for each route by itself', () => {
  const durations = new RouteDurations();
  durations.record('a', 300, 0);
  durations.record('a', 900, 1_000);
  durations.record('a', 200, 12_000);
  durations.record('b', 50, 12_000);
  assert.is(durations.longestMilliseconds('a', 12_000), 900);
  assert.is(durations.longestMilliseconds('b', 12_000), 50);
  assert.is(durations.longestMilliseconds('c', 12_000), undefined);
});

test('old durations and removed routes are forgotten', () => {
  const durations = new RouteDurations();
  durations.record('a', 900, 0);
  durations.record('a', 200, 12_000);
  assert.is(durations.longestMilliseconds('a', 31_000), 200);
  assert.is(durations.longestMilliseconds('a', 50_000), undefined);
  durations.record('a', 100, 50_000);
  durations.retain(new Set(['b']));
  assert.is(durations.longestMilliseconds('a', 50_000), undefined);
});

test.run();
