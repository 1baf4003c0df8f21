import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CallerTimeLimits } from '../../src/entry/caller-time-limits.js';

const route = 'orders';

interface Case {
  readonly title: string;
  /** Time limits of earlier requests. */
  readonly earlierMilliseconds: readonly number[];
  readonly givenMilliseconds: number;
  readonly spentMilliseconds: number;
}

function repeated(count: number, limit: number): readonly number[] {
  return Array.from({ length: count }, () => limit);
}

const cases: readonly Case[] = [
  {
    title: 'a new route has no common limits',
    earlierMilliseconds: [],
    givenMilliseconds: 700,
    spentMilliseconds: 0,
  },
  {
    title: 'too few requests for a common limit',
    earlierMilliseconds: repeated(6, 1_200),
    givenMilliseconds: 700,
    spentMilliseconds: 0,
  },
  {
    title: 'a first request',
    earlierMilliseconds: repeated(16, 1_200),
    givenMilliseconds: 1_200,
    spentMilliseconds: 0,
  },
  {
    title: 'a retry by the caller',
    earlierMilliseconds: repeated(16, 1_200),
    givenMilliseconds: 700,
    spentMilliseconds: 500,
  },
  {
    title: 'a first request that was some milliseconds in transit',
    earlierMilliseconds: repeated(16, 1_200),
    givenMilliseconds: 1_192,
    spentMilliseconds: 0,
  },
  {
    title: 'limits that differ by a millisecond count as one',
    earlierMilliseconds: [...repeated(8, 1_199), ...repeated(8, 1_200)],
    givenMilliseconds: 900,
    spentMilliseconds: 300,
  },
  {
    title: 'callers with a shorter common limit have spent nothing',
    earlierMilliseconds: [...repeated(20, 2_000), ...repeated(20, 1_000)],
    givenMilliseconds: 1_000,
    spentMilliseconds: 0,
  },
  {
    title: 'a retry is compared with the next longer common limit',
    earlierMilliseconds: [...repeated(20, 2_000), ...repeated(20, 1_000)],
    givenMilliseconds: 800,
    spentMilliseconds: 200,
  },
  {
    title: 'a single long limit does not affect other callers',
    earlierMilliseconds: [...repeated(30, 1_000), 60_000],
    givenMilliseconds: 1_000,
    spentMilliseconds: 0,
  },
  {
    title: 'a limit longer than all common limits',
    earlierMilliseconds: repeated(16, 1_000),
    givenMilliseconds: 5_000,
    spentMilliseconds: 0,
  },
];

for (const {
  earlierMilliseconds: earlier,
  givenMilliseconds: given,
  spentMilliseconds: spent,
  title,
} of cases) {
  test(title, () => {
    const limits = new CallerTimeLimits();
    for (const limit of earlier) limits.estimateMillisecondsSpentBefore(route, limit);
    assert.is(limits.estimateMillisecondsSpentBefore(route, given), spent);
  });
}

// Under overload, a third of the requests are retries by callers that were refused.
test('retries at random times do not create a common limit', () => {
  const random = new SeededRandomSource(7);
  const limits = new CallerTimeLimits();
  for (let sent = 0; sent < 500; sent += 1) {
    const isRetry = random.next() < 0.5;
    limits.estimateMillisecondsSpentBefore(route, isRetry ? 500 + random.next() * 500 : 1_200);
  }
  for (const given of [550, 700, 850, 950]) {
    assert.is(limits.estimateMillisecondsSpentBefore(route, given), 1_200 - given);
  }
});

test('a limit that all callers adopt becomes the common limit', () => {
  const limits = new CallerTimeLimits();
  for (const limit of repeated(64, 1_200)) limits.estimateMillisecondsSpentBefore(route, limit);
  for (const limit of repeated(64, 800)) limits.estimateMillisecondsSpentBefore(route, limit);
  assert.is(limits.estimateMillisecondsSpentBefore(route, 800), 0);
});

test('limits are kept for each route and removed with it', () => {
  const limits = new CallerTimeLimits();
  for (const limit of repeated(16, 1_200)) limits.estimateMillisecondsSpentBefore(route, limit);
  assert.is(limits.estimateMillisecondsSpentBefore('others', 700), 0);
  limits.retain(new Set(['others']));
  assert.is(limits.estimateMillisecondsSpentBefore(route, 700), 0);
});

test.run();
