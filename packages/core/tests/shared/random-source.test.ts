import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { nextInteger, SeededRandomSource, shuffled } from '../../src/index.js';

test('the same seed gives the same numbers, so that a failing run is reproducible', () => {
  const first = new SeededRandomSource(7);
  const second = new SeededRandomSource(7);
  for (let draw = 0; draw < 100; draw += 1) {
    assert.is(first.next(), second.next());
  }
});

test('integers stay below their bound and cover every value', () => {
  const random = new SeededRandomSource(1);
  const seen = new Set<number>();
  for (let draw = 0; draw < 200; draw += 1) {
    seen.add(nextInteger(random, 5));
  }
  assert.equal([...seen].sort(), [0, 1, 2, 3, 4]);
});

test('shuffling keeps all elements', () => {
  const random = new SeededRandomSource(3);
  assert.equal([...shuffled(random, [4, 1, 3, 2])].sort(), [1, 2, 3, 4]);
});

test.run();
