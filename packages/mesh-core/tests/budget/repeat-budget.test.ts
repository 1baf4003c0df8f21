import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RepeatBudget } from '../../src/index.js';

const options = { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 };

test('a node takes its part of the slack when there are no requests', () => {
  const budget = new RepeatBudget(options);
  budget.shareBetween(10);
  const taken = Array.from({ length: 20 }, () => budget.take('shop', 0)).filter(Boolean).length;
  assert.is(taken, 4);
});

test('a repeat that did not reach a server is given back', () => {
  const budget = new RepeatBudget({ ...options, slack: 2 });
  assert.ok(budget.take('shop', 0));
  assert.not(budget.take('shop', 0));
  budget.refund('shop', 0);
  assert.ok(budget.take('shop', 0));
});

test('what a repeated run calls counts, so that it leaves less for others', () => {
  const budget = new RepeatBudget({ ...options, slack: 10 });
  for (let count = 0; count < 7; count += 1) budget.charge('shop', 0);
  assert.not(budget.take('shop', 0));
});

test('services have budgets of their own', () => {
  const budget = new RepeatBudget({ ...options, slack: 2 });
  assert.ok(budget.take('shop', 0));
  assert.ok(budget.take('cart', 0));
});

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`no window of all nodes together exceeds the bound (seed ${seed})`, () => {
    const random = new SeededRandomSource(seed);
    const nodes = 13;
    const budgets = Array.from({ length: nodes }, () => new RepeatBudget(options));
    for (const budget of budgets) budget.shareBetween(nodes);
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 60_000; now += 5) {
      // Load that comes and goes, so that windows end right after a surge.
      const rate = Math.sin(now / 4_000) > 0 ? 0.9 : 0.05;
      for (const budget of budgets) {
        if (random.next() < rate * 0.1) {
          budget.request('shop', now);
          requests.push(now);
        }
        if (random.next() < 0.2 && budget.take('shop', now)) repeats.push(now);
      }
    }
    for (let end = 0; end < 70_000; end += 250) {
      const within = (times: readonly number[], from: number, to: number): number =>
        times.filter((time) => time > from && time <= to).length;
      const made = Math.max(
        within(requests, end - 10_000, end),
        within(requests, end - 20_000, end - 10_000),
        within(requests, end - 15_000, end - 5_000),
      );
      const allowed = options.ratio * made + options.slack;
      assert.ok(within(repeats, end - 10_000, end) <= allowed, `window that ends at ${end}`);
    }
  });
}

test.run();
