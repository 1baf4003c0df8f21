import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { TrafficSplit } from '../../src/index.js';
import { createRoute } from '../fixtures.js';

const weighted = createRoute({
  split: [
    { service: 'one', weight: 90 },
    { service: 'two', weight: 10 },
  ],
});

for (const seed of [1, 2, 3, 4, 5]) {
  test(`the shares are accurate to one request in any 50 consecutive requests (seed ${seed})`, () => {
    const split = new TrafficSplit(new SeededRandomSource(seed));
    const chosen = Array.from({ length: 500 }, () => split.chooseService(weighted));
    for (let start = 0; start + 50 <= chosen.length; start += 1) {
      const ones = chosen.slice(start, start + 50).filter((service) => service === 'one').length;
      assert.ok(Math.abs(ones - 45) <= 1, `${ones} of 50 from ${start}`);
    }
  });
}

test('the first requests of many nodes are spread over the services by weight', () => {
  const services = Array.from({ length: 300 }, (_, seed) =>
    new TrafficSplit(new SeededRandomSource(seed)).chooseService(
      createRoute({
        split: [
          { service: 'one', weight: 1 },
          { service: 'two', weight: 1 },
        ],
      }),
    ),
  );
  const ones = services.filter((service) => service === 'one').length;
  assert.ok(ones > 100 && ones < 200, `${ones} of 300`);
});

test('new weights of a route take effect with the next request', () => {
  const split = new TrafficSplit(new SeededRandomSource(1));
  for (let count = 0; count < 10; count += 1) split.chooseService(weighted);
  const moved = createRoute({
    split: [
      { service: 'one', weight: 0.001 },
      { service: 'two', weight: 100 },
    ],
  });
  const chosen = Array.from({ length: 10 }, () => split.chooseService(moved));
  assert.ok(chosen.filter((service) => service === 'two').length >= 9);
});

test('a route with one service sends all requests to it', () => {
  assert.is(new TrafficSplit(new SeededRandomSource(1)).chooseService(createRoute()), 'shop');
});

test.run();
