import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { isHedgeDue } from '../../src/entry/hedge-rule.js';
import type { GateLoad } from '../../src/index.js';
import { load, node } from '../fixtures.js';

/** Load of the gate, age of that report, time since the start, time left to the target, and the verdict. */
const cases: readonly (readonly [string, Partial<GateLoad>, number, number, number, boolean])[] = [
  ['an answer that is not late', {}, 10, 120, 280, false],
  ['an answer that is late', {}, 10, 180, 220, true],
  ['an answer from a server in a slow moment', { slowdown: 5 }, 10, 100, 300, true],
  ['a slow moment that has passed since', { slowdown: 5 }, 300, 100, 300, false],
  ['a late answer when a second one would be late too', {}, 10, 180, 50, false],
  ['an answer that may never come', {}, 10, 450, -50, true],
  ['a slow server with a usual answer', { serviceMilliseconds: 500 }, 10, 600, 600, false],
];

for (const [name, state, age, elapsed, targetIn, expected] of cases) {
  test(`${name}: ${expected ? 'asks another' : 'waits'}`, () => {
    const view = {
      isConnected: true,
      load: load(state),
      loadAt: 0,
      node: node('a'),
      unreported: 0,
    };
    assert.is(isHedgeDue(view, elapsed, targetIn, age), expected);
  });
}

test.run();
