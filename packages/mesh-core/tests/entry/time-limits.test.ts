import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { TimeLimits } from '../../src/entry/time-limits.js';

const route = 'orders';

interface Case {
  readonly title: string;
  /** Time limits with which earlier requests came. */
  readonly earlier: readonly number[];
  readonly given: number;
  readonly spent: number;
}

function repeated(count: number, limit: number): readonly number[] {
  return Array.from({ length: count }, () => limit);
}

const cases: readonly Case[] = [
  { title: 'nothing is known of a new route', earlier: [], given: 700, spent: 0 },
  { title: 'few requests say nothing', earlier: repeated(6, 1_200), given: 700, spent: 0 },
  { title: 'a first request', earlier: repeated(16, 1_200), given: 1_200, spent: 0 },
  { title: 'a caller that returns', earlier: repeated(16, 1_200), given: 700, spent: 500 },
  {
    title: 'a first request that was under way for some milliseconds',
    earlier: repeated(16, 1_200),
    given: 1_192,
    spent: 0,
  },
  {
    title: 'limits that differ by a millisecond are one',
    earlier: [...repeated(8, 1_199), ...repeated(8, 1_200)],
    given: 900,
    spent: 300,
  },
  {
    title: 'callers with a shorter limit of their own have spent nothing',
    earlier: [...repeated(20, 2_000), ...repeated(20, 1_000)],
    given: 1_000,
    spent: 0,
  },
  {
    title: 'a caller that returns is measured by the next longer limit',
    earlier: [...repeated(20, 2_000), ...repeated(20, 1_000)],
    given: 800,
    spent: 200,
  },
  {
    title: 'one caller with a long limit makes no other late',
    earlier: [...repeated(30, 1_000), 60_000],
    given: 1_000,
    spent: 0,
  },
  {
    title: 'a limit longer than all common ones',
    earlier: repeated(16, 1_000),
    given: 5_000,
    spent: 0,
  },
];

for (const { earlier, given, spent, title } of cases) {
  test(title, () => {
    const limits = new TimeLimits();
    for (const limit of earlier) limits.spentBefore(route, limit);
    assert.is(limits.spentBefore(route, given), spent);
  });
}

// Under overload a third of the requests are those of callers that return.
test('callers that return at random times make no limit of their own', () => {
  const random = new SeededRandomSource(7);
  const limits = new TimeLimits();
  for (let sent = 0; sent < 500; sent += 1) {
    const returns = random.next() < 0.5;
    limits.spentBefore(route, returns ? 500 + random.next() * 500 : 1_200);
  }
  for (const given of [550, 700, 850, 950]) {
    assert.is(limits.spentBefore(route, given), 1_200 - given);
  }
});

test('callers that all change their limit are believed', () => {
  const limits = new TimeLimits();
  for (const limit of repeated(64, 1_200)) limits.spentBefore(route, limit);
  for (const limit of repeated(64, 800)) limits.spentBefore(route, limit);
  assert.is(limits.spentBefore(route, 800), 0);
});

test('routes are learned apart and forgotten when they are gone', () => {
  const limits = new TimeLimits();
  for (const limit of repeated(16, 1_200)) limits.spentBefore(route, limit);
  assert.is(limits.spentBefore('others', 700), 0);
  limits.retain(new Set(['others']));
  assert.is(limits.spentBefore(route, 700), 0);
});

test.run();
