import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { createServerReport } from '../fixtures.js';
import { GateHarness } from './gate-harness.js';

const slots = 9;
const patient = { remainingMilliseconds: 30_000, targetMilliseconds: 20_000 };

/** Offers requests of all kinds every 10 ms, and finishes each after 50 ms; returns the times of the starts. */
function offerLoad(harness: GateHarness, from: number, to: number): readonly number[] {
  const starts: number[] = [];
  let finished = harness.running.length;
  let started = finished;
  for (let now = from; now < to; now += 10) {
    const kind = (now / 10) % 3;
    harness.start({ ...patient, nested: kind === 1, optional: false, repeat: kind === 2 }, now);
    harness.gate.tick(now);
    for (; finished < started && (starts[finished] ?? now) <= now - 50; finished += 1)
      harness.finish(finished, now);
    for (; started < harness.running.length; started += 1) starts.push(now);
  }
  return starts;
}

test('a server that states a limit gets no more requests than it takes, retries, nested calls and waiting ones included', () => {
  const harness = new GateHarness(slots);
  harness.stateLimit(8.9, 0);
  const starts = offerLoad(harness, 0, 12_000);
  for (const from of starts) {
    const count = starts.filter((at) => at >= from && at < from + 4_000).length;
    assert.ok(count <= 8.9 * 4.5 + 1, `${count} requests in the 4 s from ${from} ms on`);
  }
  assert.ok(starts.length > 8.9 * 11);
});

test('the limit ends with the first response without one, and with the next incarnation of the server', () => {
  const harness = new GateHarness(slots);
  harness.stateLimit(1, 0);
  for (let count = 0; count < 4; count += 1) harness.start(patient, 300);
  assert.is(harness.running.length, 1);
  harness.stateLimit(Infinity, 400);
  assert.is(harness.running.length, 4);
  assert.is(harness.gate.statedRequestsPerSecond, undefined);
  harness.stateLimit(1, 500);
  harness.gate.onServerReport(createServerReport({ instanceId: 'i-2', slots }), 600);
  for (let count = 0; count < 3; count += 1) harness.start(patient, 600);
  assert.is(harness.running.length, 7);
});

test('a value that cannot be read, or a response of another server, changes nothing', () => {
  const harness = new GateHarness(slots);
  harness.stateLimit(1, 0);
  harness.stateLimit(undefined, 10);
  harness.gate.onServerNotice(
    { instanceId: 'other', isLeaving: false, requestsPerSecond: Infinity },
    20,
  );
  assert.is(harness.gate.statedRequestsPerSecond, 1);
});

test('a request that would wait too long for its start is declined at once, with the expected time', () => {
  const harness = new GateHarness(slots);
  harness.stateLimit(1, 0);
  harness.start({}, 300);
  const declined = harness.start({ remainingMilliseconds: 700 }, 300);
  assert.is(harness.outcomeOf(declined), 'queue-full');
  assert.ok(harness.gate.load(300).waitMilliseconds > 500);
});

test('a gate that starts beside a running server sends it few requests until the first response shows whether there is a limit', () => {
  const harness = new GateHarness(slots, undefined, 7);
  for (let count = 0; count < 6; count += 1) harness.start(patient, 0);
  assert.is(harness.running.length, 2);
  harness.stateLimit(2, 100);
  harness.finish(0, 100);
  assert.is(harness.running.length, 3);
  harness.stateLimit(Infinity, 200);
  assert.is(harness.running.length, 6);
});

test('a server that has just started gets requests at once', () => {
  const harness = new GateHarness(slots);
  for (let count = 0; count < 6; count += 1) harness.start(patient, 0);
  assert.is(harness.running.length, 6);
});

test.run();
