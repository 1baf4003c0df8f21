import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServiceTimes } from '../../src/gate/service-times.js';

const targets = new Map([
  ['lookup', 400],
  ['issue', 500],
]);

// After a restart of everything, gates expected each request to take 50 ms and let so many wait that most were late.
test('before its first response, a route is expected to take a share of its target latency', () => {
  const times = new ServiceTimes();
  times.setTargets(targets);
  assert.is(times.expectedMilliseconds('lookup'), 120);
  assert.is(times.expectedMilliseconds('issue'), 150);
  assert.is(times.meanMilliseconds, 135);
});

test('responses soon outweigh the assumption', () => {
  const times = new ServiceTimes();
  times.setTargets(targets);
  for (let count = 0; count < 20; count += 1) times.add('lookup', 40);
  assert.ok(times.expectedMilliseconds('lookup') < 50);
  assert.ok(times.meanMilliseconds < 50);
  assert.is(times.expectedMilliseconds('issue'), 150);
});

test('a change of the routes keeps what was learned, and forgets routes that are gone', () => {
  const times = new ServiceTimes();
  times.setTargets(targets);
  for (let count = 0; count < 20; count += 1) times.add('lookup', 40);
  times.setTargets(new Map([...targets, ['new', 1_000]]));
  assert.ok(times.expectedMilliseconds('lookup') < 50);
  assert.is(times.expectedMilliseconds('new'), 300);
  times.setTargets(new Map([['issue', 500]]));
  assert.is(times.expectedMilliseconds('lookup'), times.meanMilliseconds);
});

test('a route without a target is expected to take the mean of all responses', () => {
  const times = new ServiceTimes();
  assert.is(times.expectedMilliseconds('other'), 50);
  for (let count = 0; count < 50; count += 1) times.add('lookup', 80);
  assert.ok(Math.abs(times.expectedMilliseconds('other') - 80) < 2);
});

test.run();
