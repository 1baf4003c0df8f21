import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptOutcome } from '../../src/index.js';
import { at, noExclusions, routerWith, target } from './setup.js';

test('never: a single fast answer keeps every target ejected as slow permanently', () => {
  const router = routerWith([target('one'), target('two')]);
  router.onAttemptEnded('one', AttemptOutcome.Answered, 6, at(6));
  for (const server of ['two', 'one']) {
    for (let answer = 0; answer < 6; answer += 1) {
      router.onAttemptEnded(server, AttemptOutcome.Answered, 40, at(46));
    }
  }
  assert.is(router.chooseServer('lookup', 'one', at(46)), undefined);
  let now = 300;
  for (; now < 30_000; now += 50) {
    const server = router.choose('lookup', noExclusions, at(now))?.server ?? '';
    router.onSent(server, at(now));
    router.onAttemptEnded(server, AttemptOutcome.Answered, 40, at(now + 40));
  }
  for (const server of ['one', 'two']) {
    assert.is(router.chooseServer('lookup', server, at(now))?.server, server);
  }
});

// Idle targets have equal scores, so the latency decides. If it never expired, a target whose only
// result was bad would never be chosen again, and its recovery would not be observed.
test('never: one bad result keeps requests from an idle target permanently', () => {
  const router = routerWith([target('one'), target('two')]);
  const use = (server: string, end: AttemptOutcome, milliseconds: number, now: number): void => {
    router.onSent(server, at(now));
    router.onAttemptEnded(server, end, milliseconds, at(now + milliseconds));
  };
  use('two', AttemptOutcome.Answered, 10, 0);
  use('one', AttemptOutcome.Failed, 30, 100);
  const chosen = new Set<string>();
  for (let now = 200; now < 20_200; now += 50) {
    const server = router.choose('lookup', noExclusions, at(now))?.server ?? '';
    chosen.add(server);
    use(server, AttemptOutcome.Answered, 10, now);
  }
  assert.equal([...chosen].sort(), ['one', 'two']);
});

test.run();
