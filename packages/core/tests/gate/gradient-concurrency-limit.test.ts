import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  defaultConcurrencyLimitSettings,
  GradientConcurrencyLimit,
  SeededRandomSource,
} from '../../src/index.js';

interface Upstream {
  readonly realSlots: number;
  readonly meanMilliseconds: number;
  readonly exponential: boolean;
}

/**
 * Returns the limit after each window, for an upstream that always runs at the limit and whose latency
 * rises in proportion once more requests are in flight than it has real slots.
 */
function limitsAfter(
  limit: GradientConcurrencyLimit,
  upstream: Upstream,
  windows: number,
  from = 1,
): number[] {
  const random = new SeededRandomSource(11);
  const limits: number[] = [];
  let time = from;
  for (let window = 0; window < windows; window += 1) {
    for (let sample = 0; sample < defaultConcurrencyLimitSettings.windowSamples; sample += 1) {
      const inFlight = limit.limit;
      const slowdown = Math.max(1, inFlight / upstream.realSlots);
      const draw = upstream.exponential ? -Math.log(1 - random.next()) : 1;
      const latencyMilliseconds = upstream.meanMilliseconds * slowdown * draw;
      time += latencyMilliseconds / inFlight;
      const sample = { inFlight, inFlightAtStart: inFlight, latencyMilliseconds, startedAt: time };
      limit.onAnswered(sample, time);
    }
    limits.push(limit.limit);
  }
  return limits;
}

function createLimit(slots: number): GradientConcurrencyLimit {
  const limit = new GradientConcurrencyLimit(defaultConcurrencyLimitSettings);
  limit.setSlots(slots, true);
  return limit;
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

test('an upstream that has its announced slots is not throttled because its service times vary', () => {
  const limits = limitsAfter(
    createLimit(10),
    { exponential: true, meanMilliseconds: 20, realSlots: 10 },
    200,
  );
  assert.ok(mean(limits) > 9.5, `mean limit ${mean(limits)}`);
});

test('an upstream that announces 10 slots but has 4 is limited to about 4', () => {
  const limit = createLimit(4);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 20, realSlots: 4 }, 3);
  limit.setSlots(10, false);
  const limits = limitsAfter(limit, { exponential: true, meanMilliseconds: 20, realSlots: 4 }, 100);
  const settled = mean(limits.slice(20));
  assert.ok(settled > 4 && settled < 6.5, `mean limit ${settled}`);
});

test('an upstream that became slower at any concurrency regains all its slots', () => {
  const limit = createLimit(10);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 20, realSlots: 10 }, 3);
  const limits = limitsAfter(
    limit,
    { exponential: false, meanMilliseconds: 60, realSlots: 10 },
    10,
  );
  assert.ok(Math.min(...limits) < 10, 'the increased latency did not lower the limit');
  assert.is(limits.at(-1), 10);
});

test('requests started before a decrease are not used to evaluate it', () => {
  const limit = createLimit(10);
  const window = (latencyMilliseconds: number, startedAt: number, now: number): void => {
    const inFlight = limit.limit;
    const sample = { inFlight, inFlightAtStart: inFlight, latencyMilliseconds, startedAt };
    for (let count = 0; count < 100; count += 1) limit.onAnswered(sample, now);
  };
  window(20, 1, 100);
  window(50, 101, 200);
  assert.is(limit.limit, 5);
  window(50, 199, 250);
  assert.is(limit.limit, 5);
});

test('a trial of a lower limit withholds at most half of the slots and is reverted after 50 answers', () => {
  const limit = createLimit(10);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 40, realSlots: 10 }, 3);
  const slow = { exponential: false, meanMilliseconds: 200, realSlots: 10 };
  // Lowering by the ratio of 5 would leave 2 slots, with which 100 answers would take 10 s.
  assert.equal(limitsAfter(limit, slow, 1), [5]);
  const sample = { inFlight: 5, inFlightAtStart: 5, latencyMilliseconds: 200, startedAt: 1e9 };
  let answers = 0;
  for (; limit.limit < 10 && answers < 1_000; answers += 1) limit.onAnswered(sample, 1e9);
  assert.is(answers, defaultConcurrencyLimitSettings.trialSamples);
});

test('an upstream with many slots regains them within 15 windows after an overload', () => {
  const limit = createLimit(200);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 5, realSlots: 200 }, 3);
  // A decrease at most halves the limit and is evaluated before the next one.
  limitsAfter(limit, { exponential: false, meanMilliseconds: 5, realSlots: 8 }, 8);
  const limitAfterOverload = limit.limit;
  const limits = limitsAfter(
    limit,
    { exponential: false, meanMilliseconds: 5, realSlots: 200 },
    20,
    10_000,
  );
  const windowsNeeded = limits.findIndex((reached) => reached === 200) + 1;
  assert.ok(limitAfterOverload <= 20, `${limitAfterOverload}`);
  // Raising the limit by one slot per window took 190 windows, that is 19,000 answers.
  assert.ok(windowsNeeded > 0 && windowsNeeded <= 15, limits.join(' '));
});

/** Returns the limit after each window, with 1 to 10 concurrent requests that determine the latency. */
function limitsUnderVaryingLoad(latencyOf: (inFlight: number) => number): number[] {
  const limit = createLimit(10);
  const random = new SeededRandomSource(7);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 20, realSlots: 10 }, 3);
  return Array.from({ length: 4 }, (_, window) => {
    for (let count = 0; count < 100; count += 1) {
      const inFlight = 1 + Math.floor(random.next() * limit.limit);
      const latencyMilliseconds = latencyOf(inFlight) * (0.5 + random.next());
      const time = 10_000 * (window + 1) + count;
      const sample = { inFlight, inFlightAtStart: inFlight, latencyMilliseconds, startedAt: time };
      limit.onAnswered(sample, time);
    }
    return limit.limit;
  });
}

test('an upstream whose latency does not depend on concurrency keeps all its slots', () => {
  assert.equal(
    limitsUnderVaryingLoad(() => 100),
    [10, 10, 10, 10],
  );
});

test('an overloaded upstream is limited even though the load varies', () => {
  const limits = limitsUnderVaryingLoad((inFlight) => 20 * inFlight);
  assert.ok(limits.at(-1) !== undefined && Math.max(...limits) < 10, limits.join(' '));
});

test('the limit never leaves the range from 1 to the announced slots', () => {
  const limit = createLimit(3);
  limitsAfter(limit, { exponential: false, meanMilliseconds: 1, realSlots: 3 }, 1);
  const limits = limitsAfter(
    limit,
    { exponential: true, meanMilliseconds: 500, realSlots: 0.1 },
    50,
  );
  assert.ok(limits.every((value) => value >= 1 && value <= 3));
});

test.run();
