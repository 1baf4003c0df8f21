import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationFreshness } from '../../src/index.js';

const propagationMilliseconds = 2_000;

function createFreshness(name = 'a'): ConfigurationFreshness {
  return new ConfigurationFreshness(name, propagationMilliseconds, 0);
}

test('no read is due while confirmations arrive', () => {
  const freshness = createFreshness();
  for (let now = 0; now < 30_000; now += 700) {
    freshness.onConfirmed(now);
    assert.not(freshness.takeDueRead(now + 699));
  }
});

test('a read is due within three quarters of the bound after the last confirmation, and again until one succeeds', () => {
  for (const name of ['a', 'b', 'c', 'd']) {
    const freshness = createFreshness(name);
    freshness.onConfirmed(10_000);
    assert.not(freshness.takeDueRead(11_399));
    assert.ok(freshness.takeDueRead(11_500));
    assert.not(freshness.takeDueRead(11_600));
    assert.ok(freshness.takeDueRead(13_000));
    assert.is(freshness.ageMilliseconds(13_000), 3_000);
  }
});

test('a node that has just started waits for its peers before it reads', () => {
  const freshness = createFreshness();
  assert.not(freshness.takeDueRead(1_999));
  assert.ok(freshness.takeDueRead(2_000));
});

test.run();
