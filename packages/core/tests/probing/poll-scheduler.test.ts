import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { defaultPollSettings, PollScheduler } from '../../src/index.js';
import type { ClockReading } from '../../src/index.js';

const seed = 20_260_802;
const at = (time: number): ClockReading => ({ monotonic: time, wall: time });

function pollTimes(scheduler: PollScheduler, from: number, until: number): number[] {
  const times: number[] = [];
  for (let time = from; time < until; time += 10) {
    if (!scheduler.tryStartPoll(at(time))) continue;
    times.push(time);
    scheduler.onPollFinished();
  }
  return times;
}

test('a share of 0.01 allows two requests of 6 ms every 1.2 s and no more', () => {
  const scheduler = new PollScheduler();
  scheduler.setSlots(10, at(0));
  assert.equal(pollTimes(scheduler, 0, 5_000), [1_200, 2_400, 3_600, 4_800]);
  const budget = scheduler.budget(at(5_000));
  assert.equal(budget.spentSlotMilliseconds, 480);
  assert.ok(Math.abs(budget.allowedSlotMilliseconds - 500) < 1e-6);
});

test('with a large share, polls are no more frequent than the minimum interval', () => {
  const scheduler = new PollScheduler();
  scheduler.configure(0.1, at(0));
  scheduler.setSlots(10, at(0));
  assert.equal(pollTimes(scheduler, 0, 3_500), [120, 1_120, 2_120, 3_120]);
});

test('there are no polls with a share of 0 or without an upstream', () => {
  const scheduler = new PollScheduler();
  assert.equal(pollTimes(scheduler, 0, 10_000), []);
  scheduler.configure(0, at(10_000));
  scheduler.setSlots(10, at(10_000));
  assert.equal(pollTimes(scheduler, 10_000, 20_000), []);
});

test('an hour without polls does not allow a burst of polls', () => {
  const scheduler = new PollScheduler({ ...defaultPollSettings, minimumIntervalMilliseconds: 0 });
  scheduler.setSlots(10, at(0));
  assert.equal(pollTimes(scheduler, 3_600_000, 3_602_000), [3_600_000, 3_601_200]);
});

test('a poll that hangs delays the next one by at most 10 s', () => {
  const scheduler = new PollScheduler();
  scheduler.setSlots(10, at(0));
  assert.ok(scheduler.tryStartPoll(at(2_000)));
  assert.not(scheduler.tryStartPoll(at(11_990)));
  assert.ok(scheduler.tryStartPoll(at(12_000)));
});

const change = fc.oneof(
  { arbitrary: fc.record({ kind: fc.constant('wait' as const), value: fc.nat(3_000) }), weight: 5 },
  fc.record({ kind: fc.constant('share' as const), value: fc.constantFrom(0, 0.001, 0.01, 0.1) }),
  fc.record({ kind: fc.constant('slots' as const), value: fc.constantFrom(0, 1, 6, 10, 250) }),
);

test('the slot time spent never exceeds the allowed share, for any sequence of changes', () => {
  fc.assert(
    fc.property(fc.array(change, { maxLength: 80 }), (changes) => {
      const scheduler = new PollScheduler({
        ...defaultPollSettings,
        minimumIntervalMilliseconds: 0,
      });
      let time = 0;
      let share = 0.01;
      let slots = 0;
      let allowed = 0;
      let spent = 0;
      for (const { kind, value } of changes) {
        if (kind === 'share') scheduler.configure((share = value), at(time));
        if (kind === 'slots') scheduler.setSlots((slots = value), at(time));
        if (kind === 'wait') {
          time += value;
          allowed += value * share * slots;
        }
        for (let repeat = 0; repeat < 3; repeat += 1) {
          if (scheduler.tryStartPoll(at(time))) spent += 6 * 2 * slots;
          scheduler.onPollFinished();
        }
        assert.ok(spent <= allowed + 1e-6, `spent ${spent} of ${allowed}`);
        assert.is(scheduler.budget(at(time)).spentSlotMilliseconds, spent);
        assert.ok(Math.abs(scheduler.budget(at(time)).allowedSlotMilliseconds - allowed) < 1e-6);
      }
    }),
    { numRuns: 500, seed },
  );
});

test.run();
