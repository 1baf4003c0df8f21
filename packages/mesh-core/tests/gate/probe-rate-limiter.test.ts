import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ProbeRateLimiter } from '../../src/gate/probe-rate-limiter.js';

test('allows one probe at a time', () => {
  const limiter = new ProbeRateLimiter(30);
  assert.ok(limiter.tryTake(0));
  assert.not(limiter.tryTake(1));
  limiter.onFinished();
  assert.ok(limiter.tryTake(2));
});

test('stops treating an unanswered probe as pending after a short time', () => {
  const limiter = new ProbeRateLimiter(30);
  limiter.tryTake(0);
  assert.ok(limiter.isProbePending(30));
  assert.not(limiter.isProbePending(60));
});

test('keeps the probes within the configured rate under constant demand', () => {
  const limiter = new ProbeRateLimiter(30);
  let probes = 0;
  for (let now = 0; now < 10_000; now += 5) {
    if (!limiter.tryTake(now)) continue;
    probes += 1;
    limiter.onFinished();
  }
  assert.ok(probes <= 310, `${probes} probes in 10 s`);
  assert.ok(probes >= 290, `${probes} probes in 10 s`);
});

test('allows only the initial tokens if the rate is zero', () => {
  const limiter = new ProbeRateLimiter(0);
  let probes = 0;
  for (let now = 0; now < 1_000; now += 1) {
    if (limiter.tryTake(now)) probes += 1;
    limiter.onFinished();
  }
  assert.is(probes, 10);
});

test.run();
