import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { createServerReport } from '../fixtures.js';
import { GateHarness } from './gate-harness.js';

// Gates whose server is cold, or whose availability zone is evacuated.

const coldStartLimit = { durationMilliseconds: 3_000, maximumRequests: 3 };

test('a cold server gets no more requests in a second than it bears, nested calls included', () => {
  const harness = new GateHarness(9);
  harness.gate.configureColdStart(coldStartLimit);
  harness.gate.onServerReport(
    createServerReport({ coldMilliseconds: 3_000, sequence: 2, slots: 9 }),
    0,
  );
  const patient = { remainingMilliseconds: 9_000, targetMilliseconds: 8_000 };
  for (let count = 0; count < 6; count += 1) harness.start({ ...patient, nested: count % 2 === 0 });
  assert.is(harness.running.length, 3);
  harness.gate.tick(1_000);
  assert.is(harness.running.length, 3);
  harness.gate.tick(1_200);
  assert.is(harness.running.length, 6);
});

test('a request that a cold server cannot start in time is declined at once, with the expected time', () => {
  const harness = new GateHarness(9);
  harness.gate.configureColdStart(coldStartLimit);
  harness.gate.onServerReport(
    createServerReport({ coldMilliseconds: 3_000, sequence: 2, slots: 9 }),
    0,
  );
  for (let count = 0; count < 3; count += 1) harness.start();
  const declined = harness.start({ remainingMilliseconds: 900 });
  assert.is(harness.outcomeOf(declined), 'queue-full');
  assert.ok(harness.gate.load(0).waitMilliseconds >= 1_000);
});

test('a server that does not respond is checked, and is treated as cold until then', () => {
  const harness = new GateHarness(9);
  harness.gate.configureColdStart(coldStartLimit);
  harness.start();
  harness.finish(0, 10, { detail: 'connection refused', kind: 'failed' });
  harness.gate.tick(20);
  assert.is(harness.probes, 1);
  for (let count = 0; count < 6; count += 1) harness.start({}, 30);
  assert.is(harness.startedCalls.length, 3);
  harness.gate.onColdTimeChecked(20, 0, 40);
  harness.gate.onProbeFinished(40);
  assert.is(harness.startedCalls.length, 7);
});

test('the gate of an evacuated zone declines all requests, and running ones go on', () => {
  const harness = new GateHarness(1);
  harness.start();
  const waiting = harness.start();
  harness.gate.setEvacuated(true, 5);
  assert.is(harness.gate.load(5).state, 'evacuated');
  assert.is(harness.outcomeOf(waiting), 'zone-evacuated');
  assert.is(harness.outcomeOf(harness.start({}, 6)), 'zone-evacuated');
  harness.finish(0, 100);
  assert.is(harness.outcomeOf(1), 'answered');
  assert.is(harness.running.length, 1);
  assert.is(harness.stateChanges, 2);
});

test('after the evacuation of its zone, the gate accepts requests, and the server counts as cold', () => {
  const harness = new GateHarness(9);
  harness.gate.configureColdStart(coldStartLimit);
  harness.gate.setEvacuated(true, 5);
  harness.gate.setEvacuated(false, 2_000);
  assert.is(harness.gate.load(2_000).state, 'ready');
  assert.ok(harness.gate.isCold(2_001));
  for (let count = 0; count < 6; count += 1) harness.start({}, 2_010);
  assert.is(harness.running.length, 3);
});

test('a server that drains while its zone is evacuated keeps draining', () => {
  const harness = new GateHarness();
  harness.gate.setEvacuated(true, 5);
  harness.gate.onServerReport(createServerReport({ draining: true, sequence: 2 }), 10);
  assert.is(harness.gate.load(10).state, 'draining');
});

test.run();
