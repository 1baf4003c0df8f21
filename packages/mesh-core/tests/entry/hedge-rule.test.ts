import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { isHedgeDue } from '../../src/entry/hedge-rule.js';
import type { GateLoad } from '../../src/index.js';
import { createLoad, createNode } from '../fixtures.js';

/**
 * Title, load of the gate, age of the load report, time since the attempt was sent, time left until the target latency,
 * and whether a hedge is due. The times are in milliseconds.
 */
const cases: readonly (readonly [string, Partial<GateLoad>, number, number, number, boolean])[] = [
  ['an answer that is not late', {}, 10, 120, 280, false],
  ['an answer that is late', {}, 10, 180, 220, true],
  ['an answer from a server that reports a slowdown', { slowdown: 5 }, 10, 100, 300, true],
  ['a slowdown that was reported too long ago', { slowdown: 5 }, 300, 100, 300, false],
  ['a late answer when a second one would miss the target too', {}, 10, 180, 50, false],
  ['an answer that may never come', {}, 10, 450, -50, true],
  [
    'an answer from a slow server within its usual time',
    { serviceMilliseconds: 500 },
    10,
    600,
    600,
    false,
  ],
];

for (const [title, changes, reportAge, elapsed, timeToTarget, isDue] of cases) {
  test(`${title}: ${isDue ? 'hedges the request' : 'waits'}`, () => {
    const view = {
      isConnected: true,
      isSuspected: false,
      load: createLoad(changes),
      loadReceivedAt: 0,
      node: createNode('a'),
      unreportedRequests: 0,
    };
    assert.is(
      isHedgeDue(view, view.load.serviceMilliseconds, elapsed, timeToTarget, reportAge),
      isDue,
    );
  });
}

test.run();
