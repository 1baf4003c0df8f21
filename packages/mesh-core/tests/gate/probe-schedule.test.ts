import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ProbeSchedule } from '../../src/gate/probe-schedule.js';

test('one probe at a time, however many requests wait for it', () => {
  const schedule = new ProbeSchedule(30);
  assert.ok(schedule.take(0));
  assert.not(schedule.take(1));
  schedule.ended();
  assert.ok(schedule.take(2));
});

test('a probe that is not answered holds requests back for a short time only', () => {
  const schedule = new ProbeSchedule(30);
  schedule.take(0);
  assert.ok(schedule.isAwaited(30));
  assert.not(schedule.isAwaited(60));
});

test('the cost of measuring stays within its budget under any load', () => {
  const schedule = new ProbeSchedule(30);
  let probes = 0;
  for (let now = 0; now < 10_000; now += 5) {
    if (!schedule.take(now)) continue;
    probes += 1;
    schedule.ended();
  }
  assert.ok(probes <= 310, `${probes} probes in 10 s`);
  assert.ok(probes >= 290, `${probes} probes in 10 s`);
});

test('without a budget there are no probes after the first few', () => {
  const schedule = new ProbeSchedule(0);
  let probes = 0;
  for (let now = 0; now < 1_000; now += 1) {
    if (schedule.take(now)) probes += 1;
    schedule.ended();
  }
  assert.is(probes, 10);
});

test.run();
