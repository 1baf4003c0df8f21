import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReturnTimes } from '../../src/admission/return-times.js';

const fixture = (): ReturnTimes => new ReturnTimes(new SeededRandomSource(1));

// A caller refused in a lasting overload was told the length of one queue, and was refused again when it returned.
test('tells callers to stay away for longer, the longer an overload has lasted', () => {
  const times = fixture();
  assert.ok(times.afterRefusal('shop', 100, 0) < 100);
  for (let now = 500; now < 2_000; now += 500) times.afterRefusal('shop', 100, now);
  assert.ok(times.afterRefusal('shop', 100, 2_000) >= 4_000);
});

test('forgets an overload that is over, and keeps those of services apart', () => {
  const times = fixture();
  times.afterRefusal('shop', 100, 0);
  times.afterRefusal('shop', 100, 1_000);
  assert.ok(times.afterRefusal('stock', 100, 1_500) < 100);
  times.tick(5_000);
  assert.ok(times.afterRefusal('shop', 100, 5_001) < 100);
});

test('spreads out callers that are refused at the same time', () => {
  const times = fixture();
  const told = new Set<number>();
  for (let caller = 0; caller < 5; caller += 1) told.add(times.afterRefusal('shop', 400, 0));
  assert.is(told.size, 5);
});

test.run();
