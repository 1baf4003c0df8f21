import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptEnd } from '../../src/index.js';
import { at, none, routerWith, target } from './setup.js';

test('never: one short answer makes every target count as slow for good', () => {
  const router = routerWith([target('one'), target('two')]);
  router.concluded('one', AttemptEnd.Answered, 6, at(6));
  for (const server of ['two', 'one']) {
    for (let answer = 0; answer < 6; answer += 1) {
      router.concluded(server, AttemptEnd.Answered, 40, at(46));
    }
  }
  assert.is(router.chooseServer('lookup', 'one', at(46)), undefined);
  let now = 300;
  for (; now < 30_000; now += 50) {
    const server = router.choose('lookup', none, at(now))?.server ?? '';
    router.sent(server, at(now));
    router.concluded(server, AttemptEnd.Answered, 40, at(now + 40));
  }
  for (const server of ['one', 'two']) {
    assert.is(router.chooseServer('lookup', server, at(now))?.server, server);
  }
});

// Idle targets have equal scores, and the latency alone decides between them. A target whose only
// result was bad was then never chosen again, and nothing showed that it had recovered.
test('never: one bad result keeps an idle target without requests for good', () => {
  const router = routerWith([target('one'), target('two')]);
  const use = (server: string, end: AttemptEnd, milliseconds: number, now: number): void => {
    router.sent(server, at(now));
    router.concluded(server, end, milliseconds, at(now + milliseconds));
  };
  use('two', AttemptEnd.Answered, 10, 0);
  use('one', AttemptEnd.Failed, 30, 100);
  const chosen = new Set<string>();
  for (let now = 200; now < 20_200; now += 50) {
    const server = router.choose('lookup', none, at(now))?.server ?? '';
    chosen.add(server);
    use(server, AttemptEnd.Answered, 10, now);
  }
  assert.equal([...chosen].sort(), ['one', 'two']);
});

test.run();
