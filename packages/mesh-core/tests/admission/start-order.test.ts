import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { precedes } from '../../src/admission/start-order.js';
import type { OrderedRequest } from '../../src/admission/start-order.js';

const work: Readonly<Record<string, number>> = { long: 300, short: 20 };
const context = {
  isNestedFirst: true,
  now: 0,
  workOf: (routeName: string): number => work[routeName] ?? 0,
};

type Changes = Partial<Omit<OrderedRequest, 'frame'>> & {
  readonly frame?: Partial<OrderedRequest['frame']>;
};

const request = ({ frame, ...changes }: Changes): OrderedRequest => ({
  deadline: 2_000,
  targetAt: 1_000,
  ...changes,
  frame: { nested: false, priority: 1, routeName: 'short', ...frame },
});

const cases: readonly [string, OrderedRequest, OrderedRequest][] = [
  ['a nested call before others', request({ frame: { nested: true } }), request({ targetAt: 50 })],
  ['the more urgent', request({ frame: { priority: 0 } }), request({ targetAt: 500 })],
  ['the earlier target', request({ targetAt: 900 }), request({})],
  ['less work at the same target', request({}), request({ frame: { routeName: 'long' } })],
  [
    // Regression: the mean work of all routes decided, so that long requests took slots which they could not use in time.
    'one that its own work lets meet its target',
    request({ frame: { priority: 2 }, targetAt: 100 }),
    request({ frame: { routeName: 'long' }, targetAt: 100 }),
  ],
  [
    'less work among late ones',
    request({ targetAt: -1 }),
    request({ deadline: 1_000, frame: { routeName: 'long' }, targetAt: -1 }),
  ],
];

for (const [name, first, second] of cases) {
  test(`starts ${name} first`, () => {
    assert.ok(precedes(first, second, context));
    assert.not(precedes(second, first, context));
  });
}

test.run();
