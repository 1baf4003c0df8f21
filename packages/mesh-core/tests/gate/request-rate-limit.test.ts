import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RequestRateLimit } from '../../src/gate/request-rate-limit.js';

/** Starts a request whenever that is allowed, until the given time; returns the times of the starts. */
function startGreedily(limit: RequestRateLimit, from: number, to: number): readonly number[] {
  const starts: number[] = [];
  for (let now = from; now < to; now += 1) {
    if (limit.waitForStart(1, now) > 0) continue;
    limit.recordStart(now);
    starts.push(now);
  }
  return starts;
}

function largestCount(starts: readonly number[], windowMilliseconds: number): number {
  const counts = starts.map(
    (from) => starts.filter((at) => at >= from && at < from + windowMilliseconds).length,
  );
  return Math.max(0, ...counts);
}

for (const requestsPerSecond of [0.5, 1, 2.9, 8.9, 40]) {
  test(`a server that takes ${requestsPerSecond} requests per second gets about that many, and all that it takes`, () => {
    const limit = new RequestRateLimit();
    startGreedily(limit, 0, 100);
    assert.ok(limit.setRate(requestsPerSecond, 100));
    const starts = startGreedily(limit, 100, 20_100);
    assert.ok(largestCount(starts, 4_000) <= requestsPerSecond * 4.5 + 1);
    assert.ok(starts.length >= requestsPerSecond * 19);
  });
}

test('a server that takes nothing gets one request in four seconds, whose response may end the limit', () => {
  const limit = new RequestRateLimit();
  limit.setRate(0, 0);
  assert.is(startGreedily(limit, 0, 20_000).length, 5);
  limit.setRate(Infinity, 20_000);
  assert.is(limit.waitForStart(9, 20_000), 0);
});

test('unused allowance is kept for half a second only', () => {
  const limit = new RequestRateLimit();
  limit.setRate(8, 0);
  assert.is(startGreedily(limit, 60_000, 60_010).length, 5);
});

test('a higher rate takes effect at once, and repeating a rate changes nothing', () => {
  const limit = new RequestRateLimit();
  limit.setRate(1, 0);
  for (const now of [0, 1_000]) limit.recordStart(now);
  assert.not(limit.setRate(1, 1_000));
  assert.ok(limit.waitForStart(1, 1_001) > 500);
  limit.setRate(100, 1_001);
  assert.ok(limit.waitForStart(1, 1_001) <= 10);
});

test.run();
