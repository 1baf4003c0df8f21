import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteMap } from '../../src/shared/route-map.js';

test('a value is created once for each route', () => {
  const map = new RouteMap<string[]>();
  map.getOrCreate('orders', () => []).push('first');
  map.getOrCreate('orders', () => []).push('second');
  assert.equal(map.get('orders'), ['first', 'second']);
  assert.equal(
    map.getOrCreate('others', () => []),
    [],
  );
});

// Values of routes that come and go with each configuration would fill the node's memory.
test('routes that are no longer declared are forgotten, the others are kept', () => {
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
