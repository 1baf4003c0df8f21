import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ColdAssumptionCause, ColdStartGuard } from '../../src/gate/cold-start-guard.js';
import { createServerReport } from '../fixtures.js';

const limit = { durationMilliseconds: 3_000, maximumRequests: 22 };

/** A guard of a process that has run for long, and the causes for which it assumed that the server is cold. */
function createGuard(processStartedAt = Number.NEGATIVE_INFINITY): [ColdStartGuard, string[]] {
  const causes: string[] = [];
  const guard = new ColdStartGuard({
    onAssumed: (cause) => causes.push(cause),
    processStartedAt,
    reportIntervalMilliseconds: 1_500,
  });
  guard.configure(limit);
  return [guard, causes];
}

/** Starts requests whenever the guard permits it, one per millisecond at most. */
function startAllPossible(guard: ColdStartGuard, from: number, until: number): readonly number[] {
  const starts: number[] = [];
  for (let now = from; now < until; now += 1) {
    if (guard.waitForStart(1, now) > 0) continue;
    guard.recordStart(now);
    starts.push(now);
  }
  return starts;
}

function mostInOneSecond(starts: readonly number[]): number {
  const counts = starts.map(
    (first) => starts.filter((start) => start >= first && start < first + 1_000).length,
  );
  return Math.max(0, ...counts);
}

test('a cold server receives no more than its limit in any second, wherever the second begins', () => {
  for (const idleUntil of [0, 300, 990, 1_700]) {
    const [guard] = createGuard();
    guard.onReport(createServerReport({ coldMilliseconds: 3_000 }), true, 0);
    const starts = startAllPossible(guard, idleUntil, 2_999);
    assert.ok(mostInOneSecond(starts) <= limit.maximumRequests);
    assert.ok(starts.length >= limit.maximumRequests);
  }
});

// On a day of the bench, 22 requests of the last second and the queue that was released when the server turned warm
// made 24 in one second.
test('a second in which the server turns warm counts as well', () => {
  const [guard] = createGuard();
  guard.onReport(createServerReport({ coldMilliseconds: 3_000 }), true, 0);
  const starts = startAllPossible(guard, 2_900, 5_000);
  assert.ok(mostInOneSecond(starts.filter((start) => start < 4_000)) <= limit.maximumRequests);
  assert.is(guard.waitForStart(99, 4_200), 0);
});

test('starts before the server turned cold count as well', () => {
  const [guard] = createGuard();
  for (let now = 0; now < 500; now += 10) guard.recordStart(now);
  guard.onReport(createServerReport({ coldMilliseconds: 2_000 }), false, 500);
  assert.ok(guard.waitForStart(1, 500) > 500);
});

test('a warm server has no limit', () => {
  const [guard] = createGuard();
  guard.onHealthChecked(0, 0, 5);
  assert.is(startAllPossible(guard, 10, 210).length, 200);
});

test('a server that turns cold again under the same identifier is limited', () => {
  const [guard] = createGuard();
  guard.onReport(createServerReport(), true, 0);
  guard.onHealthChecked(1, 0, 5);
  assert.not(guard.isCold(10));
  guard.onReport(createServerReport({ coldMilliseconds: 2_000, sequence: 2 }), false, 1_500);
  assert.ok(guard.isCold(1_600));
  assert.ok(mostInOneSecond(startAllPossible(guard, 1_500, 3_400)) <= limit.maximumRequests);
});

test('a process that has just started assumes that the one before it used up the limit', () => {
  const [guard] = createGuard(1_000);
  guard.onReport(createServerReport({ coldMilliseconds: 3_000 }), true, 1_200);
  assert.equal(startAllPossible(guard, 1_200, 2_000), []);
  assert.is(startAllPossible(guard, 2_000, 2_300).length, limit.maximumRequests);
});

test('predicts when the request at a position of the queue can start', () => {
  const [guard] = createGuard();
  guard.onReport(createServerReport({ coldMilliseconds: 3_000 }), true, 0);
  const starts = startAllPossible(guard, 100, 200);
  assert.is(starts.length, limit.maximumRequests);
  const predicted = [1, 5, 22, 23].map((position) => 200 + guard.waitForStart(position, 200));
  const later = startAllPossible(guard, 200, 2_999);
  for (const [index, position] of [1, 5, 22, 23].entries()) {
    const difference = Math.abs((predicted[index] ?? 0) - (later[position - 1] ?? 0));
    assert.ok(difference <= 1, `position ${position}`);
  }
});

/** Cause, event after which the server may be cold, and whether a health check should follow. */
const assumptions: readonly (readonly [string, (guard: ColdStartGuard) => void])[] = [
  [
    'no response',
    (guard) => {
      guard.assumeCold(ColdAssumptionCause.NoResponse, 1_000);
    },
  ],
  [
    'the evacuation of its zone ended',
    (guard) => {
      guard.assumeCold(ColdAssumptionCause.EvacuationEnded, 1_000);
    },
  ],
  [
    'a new incarnation whose first report may be old',
    (guard) => {
      guard.onReport(createServerReport({ instanceId: 'i-2' }), true, 1_000);
    },
  ],
];

for (const [name, cause] of assumptions) {
  test(`after ${name} the server is treated as cold until a later health check`, () => {
    const [guard, causes] = createGuard();
    guard.onReport(createServerReport(), true, 0);
    guard.onHealthChecked(1, 0, 5);
    cause(guard);
    assert.is(causes.length, 2);
    assert.ok(guard.isCold(1_001));
    assert.ok(guard.isHealthCheckDue(1_001));
    // A check sent before and a report, which may be old, do not show that the server is warm.
    guard.onHealthChecked(999, 0, 1_002);
    guard.onReport(createServerReport({ sequence: 9 }), false, 1_003);
    assert.ok(guard.isCold(1_004));
    guard.onHealthChecked(1_005, 0, 1_010);
    assert.not(guard.isCold(1_011));
  });
}

test('a health check that reports cold time is followed exactly', () => {
  const [guard] = createGuard();
  guard.assumeCold(ColdAssumptionCause.NoResponse, 0);
  guard.onHealthChecked(1, 700, 10);
  assert.ok(guard.isCold(700));
  assert.not(guard.isCold(711));
  assert.not(guard.isHealthCheckDue(500));
});

test('a report that arrives late does not shorten the cold time', () => {
  const [guard] = createGuard();
  guard.onReport(createServerReport({ coldMilliseconds: 2_000 }), true, 0);
  guard.onReport(createServerReport({ coldMilliseconds: 0, sequence: 2 }), false, 100);
  assert.ok(guard.isCold(1_900));
});

test('a gap in the reports leads to a health check', () => {
  const [guard, causes] = createGuard();
  guard.onReport(createServerReport(), true, 0);
  guard.onHealthChecked(1, 0, 5);
  assert.not(guard.isHealthCheckDue(4_000));
  assert.ok(guard.isHealthCheckDue(4_600));
  assert.is(causes.at(-1), ColdAssumptionCause.MissingReports);
});

test('health checks are repeated at an interval while the server does not answer them', () => {
  const [guard] = createGuard();
  guard.assumeCold(ColdAssumptionCause.NoResponse, 0);
  let checks = 0;
  for (let now = 0; now < 2_000; now += 10) {
    if (!guard.isHealthCheckDue(now)) continue;
    guard.onHealthCheckSent(now);
    checks += 1;
  }
  assert.is(checks, 8);
});

// A node receives the first report of its server before it has read the configuration.
test('an assumption made before the limit is declared holds once it is', () => {
  const [guard] = createGuard();
  guard.configure(undefined);
  guard.onReport(createServerReport(), true, 0);
  guard.configure(limit);
  assert.ok(guard.isHealthCheckDue(100));
  const starts = startAllPossible(guard, 100, 2_000);
  assert.ok(mostInOneSecond(starts) <= limit.maximumRequests);
});

test('without a declared limit no server counts as cold', () => {
  const [guard, causes] = createGuard();
  guard.configure(undefined);
  guard.assumeCold(ColdAssumptionCause.NoResponse, 0);
  guard.onReport(createServerReport({ coldMilliseconds: 3_000 }), false, 0);
  assert.is(guard.waitForStart(100, 10), 0);
  assert.equal(causes, []);
});

test.run();
