import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RetryBudget } from '../../src/index.js';

const options = { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 };

test('allows the node its part of the slack when there are no requests', () => {
  const budget = new RetryBudget(options);
  budget.setNodeCount(10);
  const taken = Array.from({ length: 20 }, () => budget.tryTake('shop', 0)).filter(Boolean).length;
  assert.is(taken, 4);
});

test('refunds a retry that did not reach a server', () => {
  const budget = new RetryBudget({ ...options, slack: 2 });
  assert.ok(budget.tryTake('shop', 0));
  assert.not(budget.tryTake('shop', 0));
  budget.refund('shop', 0);
  assert.ok(budget.tryTake('shop', 0));
});

test('counts unavoidable retries against the budget', () => {
  const budget = new RetryBudget({ ...options, slack: 10 });
  for (let count = 0; count < 7; count += 1) budget.recordUnavoidableRetry('shop', 0);
  assert.not(budget.tryTake('shop', 0));
});

// Regression: hedges of nested calls, four times as many as the requests of callers, used up the retries of a service.
test('hedges of nested calls leave half of what repeatable requests of callers have earned', () => {
  for (const [isRepeatable, expected] of [
    [true, 7],
    [false, 14],
  ] as const) {
    const budget = new RetryBudget({ ...options, slack: 0 });
    for (let count = 0; count < 100; count += 1) budget.recordRequest('shop', isRepeatable, 0);
    const take = (): boolean => budget.tryTake('shop', 0, true);
    assert.is(Array.from({ length: 20 }, take).filter(Boolean).length, expected);
    for (let count = expected; count < 14; count += 1) assert.ok(budget.tryTake('shop', 0));
    assert.not(budget.tryTake('shop', 0));
  }
});

test('keeps a separate budget for each service', () => {
  const budget = new RetryBudget({ ...options, slack: 2 });
  assert.ok(budget.tryTake('shop', 0));
  assert.ok(budget.tryTake('cart', 0));
});

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`keeps the retries of all nodes together within the bound in every window (seed ${seed})`, () => {
    const random = new SeededRandomSource(seed);
    const nodes = 13;
    const budgets = Array.from({ length: nodes }, () => new RetryBudget(options));
    for (const budget of budgets) budget.setNodeCount(nodes);
    const requests: number[] = [];
    const retries: number[] = [];
    for (let now = 0; now < 60_000; now += 5) {
      // The load alternates, so that some windows end right after a surge.
      const rate = Math.sin(now / 4_000) > 0 ? 0.9 : 0.05;
      for (const budget of budgets) {
        if (random.next() < rate * 0.1) {
          budget.recordRequest('shop', random.next() < 0.5, now);
          requests.push(now);
        }
        if (random.next() < 0.2 && budget.tryTake('shop', now)) retries.push(now);
      }
    }
    for (let end = 0; end < 70_000; end += 250) {
      const within = (times: readonly number[], from: number, to: number): number =>
        times.filter((time) => time > from && time <= to).length;
      const maximumRequests = Math.max(
        within(requests, end - 10_000, end),
        within(requests, end - 20_000, end - 10_000),
        within(requests, end - 15_000, end - 5_000),
      );
      const allowed = options.ratio * maximumRequests + options.slack;
      assert.ok(within(retries, end - 10_000, end) <= allowed, `window that ends at ${end}`);
    }
  });
}

test.run();
