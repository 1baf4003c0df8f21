import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConcurrencyLimit } from '../../src/gate/concurrency-limit.js';

const usualMilliseconds = 100;
/** Service times vary around the usual one by these factors, in turn. */
const variation = [0.6, 1.4, 0.8, 1, 0.9, 1.3] as const;
const responsesBetweenReviews = 200;
const trialResponses = 40;

function recordResponses(
  concurrencyLimit: ConcurrencyLimit,
  isCrowded: boolean,
  ratio: number,
  count = 60,
): void {
  for (let response = 0; response < count; response += 1) {
    const factor = (variation[response % variation.length] ?? 1) * (isCrowded ? ratio : 1);
    concurrencyLimit.recordResponse({
      crowdedShare: isCrowded ? 1 : 0,
      isCrowdedAtStart: isCrowded,
      milliseconds: usualMilliseconds * factor,
      routeName: 'route',
    });
  }
}

/** Slots, relative service time of requests that run while the last fifth is in use, and the resulting limit. */
const cases: readonly (readonly [number, number, number])[] = [
  [9, 1.7, 7],
  [9, 1.4, 7],
  [9, 1, 9],
  [6, 1.1, 6],
  [6, 1.7, 4],
  [1, 1, 1],
];

for (const [slots, ratio, limit] of cases) {
  test(`with ${slots} slots and requests that take ${ratio} times as long when nearly full, uses ${limit}`, () => {
    const concurrencyLimit = new ConcurrencyLimit();
    recordResponses(concurrencyLimit, false, ratio);
    recordResponses(concurrencyLimit, true, ratio);
    assert.is(concurrencyLimit.limit(slots), limit);
  });

  // Regression: all slots are in use under overload, so that responses with few slots in use were never seen, and the
  // crowded ones were compared with an average of themselves.
  test(`under lasting overload, finds out that ${limit} of ${slots} slots are best at a factor of ${ratio}`, () => {
    const concurrencyLimit = new ConcurrencyLimit();
    let bestLimitCount = 0;
    const responses = 5 * responsesBetweenReviews;
    const fullSpeedSlots = Math.max(1, Math.floor(slots * 0.8));
    for (let response = 0; response < responses; response += 1) {
      const running = concurrencyLimit.limit(slots);
      if (running === limit) bestLimitCount += 1;
      recordResponses(concurrencyLimit, running > fullSpeedSlots, ratio, 1);
    }
    const trialShare = trialResponses / responsesBetweenReviews;
    assert.ok(
      bestLimitCount >= responses * (1 - trialShare),
      `${bestLimitCount} of ${responses} responses at the best limit`,
    );
  });
}

test('compares requests of the same route', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  const record = (routeName: string, milliseconds: number, isCrowded: boolean): void => {
    const crowdedShare = isCrowded ? 1 : 0;
    const sample = { crowdedShare, isCrowdedAtStart: isCrowded, milliseconds, routeName };
    for (let response = 0; response < 30; response += 1) concurrencyLimit.recordResponse(sample);
  };
  record('short', 10, false);
  record('long', 200, false);
  record('long', 200, true);
  assert.is(concurrencyLimit.limit(9), 9);
});

test('leaves out the slots that requests of an earlier incarnation of the gate still hold', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  concurrencyLimit.recordServerRunning(5, 2);
  assert.is(concurrencyLimit.limit(6), 3);
  concurrencyLimit.recordServerRunning(2, 2);
  assert.is(concurrencyLimit.limit(6), 6);
  concurrencyLimit.recordServerRunning(40, 0);
  assert.is(concurrencyLimit.limit(6), 1);
});

// After a restart of all machines, the gates used all slots of the cold servers, and only 7 of 246 requests met
// their target.
test('does not use the last slots of a cold server before it is known whether they slow it down', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  concurrencyLimit.setCold(true);
  assert.is(concurrencyLimit.limit(9), 7);
  // Responses of a cold server are slow for another reason.
  recordResponses(concurrencyLimit, false, 1);
  recordResponses(concurrencyLimit, true, 1);
  assert.is(concurrencyLimit.limit(9), 7);
  concurrencyLimit.setCold(false);
  assert.is(concurrencyLimit.limit(9), 9);
  recordResponses(concurrencyLimit, false, 1, 20);
  recordResponses(concurrencyLimit, true, 1, 20);
  concurrencyLimit.setCold(true);
  assert.is(concurrencyLimit.limit(9), 9);
});

test('measures for how long the last slots were in use', () => {
  const concurrencyLimit = new ConcurrencyLimit();
  concurrencyLimit.recordRunning(9, 8, 10);
  assert.is(concurrencyLimit.crowdedMilliseconds(15), 5);
  concurrencyLimit.recordRunning(9, 9, 20);
  concurrencyLimit.recordRunning(9, 7, 30);
  assert.is(concurrencyLimit.crowdedMilliseconds(50), 20);
  assert.is(concurrencyLimit.isCrowded, false);
});

test.run();
