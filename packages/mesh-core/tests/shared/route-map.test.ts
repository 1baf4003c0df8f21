import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteMap } from '../../src/shared/route-map.js';

test('creates a value once for each route', () => {
  const map = new RouteMap<string[]>();
  map.getOrCreate('orders', () => []).push('first');
  map.getOrCreate('orders', () => []).push('second');
  assert.equal(map.get('orders'), ['first', 'second']);
  assert.equal(
    map.getOrCreate('others', () => []),
    [],
  );
});

// Otherwise the values of routes that are added and removed by configuration changes would accumulate in memory.
test('removes routes that are no longer configured and keeps the others', () => {
  const map = new RouteMap<number>([
    ['orders', 1],
    ['others', 2],
    ['gone', 3],
  ]);
  map.retain(new Set(['orders', 'others', 'new']));
  assert.equal(
    [...map],
    [
      ['orders', 1],
      ['others', 2],
    ],
  );
});

test.run();
