import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { createServerReport } from '../fixtures.js';
import { GateHarness } from './gate-harness.js';

test('a server that states in a response that it leaves gets no further request, and running ones go on', () => {
  const harness = new GateHarness(1);
  harness.start();
  const waiting = harness.start();
  harness.stateLeaving(10);
  assert.is(harness.outcomeOf(waiting), 'draining');
  assert.is(harness.outcomeOf(harness.start({}, 20)), 'draining');
  harness.finish(0, 30);
  assert.is(harness.outcomeOf(1), 'answered');
  assert.is(harness.running.length, 1);
  assert.is(harness.gate.load(30).state, 'draining');
});

test('peers are told of a server that states that it leaves, so that a later process of the node knows it too', () => {
  const harness = new GateHarness();
  harness.stateLeaving(10);
  assert.is(harness.stateChanges, 2);
  assert.ok(harness.gate.hasServerLeft);
  assert.is(harness.gate.lastEndedServer?.instanceId, createServerReport().instanceId);
});

test('a report that was sent before the server began to leave does not reopen the gate, the next incarnation does', () => {
  const harness = new GateHarness();
  harness.stateLeaving(10);
  harness.gate.onServerReport(createServerReport({ sequence: 2 }), 20);
  assert.is(harness.outcomeOf(harness.start({}, 30)), 'draining');
  harness.gate.onServerReport(createServerReport({ instanceId: 'i-2' }), 40);
  harness.start({}, 50);
  assert.is(harness.running.length, 1);
});

test('a late response of an earlier server changes nothing', () => {
  const harness = new GateHarness();
  harness.stateLeaving(10, 'earlier');
  harness.start({}, 20);
  assert.is(harness.running.length, 1);
});

test.run();
