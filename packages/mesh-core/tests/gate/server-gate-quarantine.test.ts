import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { createStartFrame } from '../fixtures.js';
import { GateHarness } from './gate-harness.js';

const lostConnection = { detail: 'reset', isConnectionLost: true, kind: 'failed' } as const;

function recordCrashes(harness: GateHarness, path: string, count: number): void {
  const request = createStartFrame({ path });
  for (let crash = 0; crash < count; crash += 1) {
    const run = { crashedAt: crash - count, request, runMilliseconds: 1 };
    harness.quarantine.recordCrash(`crash-${crash}`, [run], 0);
  }
}

/** A gate that has a response of its server, so that it uses all slots. */
function createHarness(): GateHarness {
  const harness = new GateHarness(4);
  harness.start();
  harness.finish(0, 1);
  return harness;
}

test('a quarantined request does not reach the server', () => {
  const harness = createHarness();
  recordCrashes(harness, '/bad', 3);
  const callId = harness.start({ path: '/bad' }, 10);
  assert.is(harness.outcomeOf(callId), 'quarantined');
  assert.is(harness.running.length, 1);
});

test('a request that becomes quarantined leaves the queue, and is aborted at the server', () => {
  const harness = createHarness();
  recordCrashes(harness, '/bad', 2);
  harness.start({ path: '/bad' }, 10);
  const waiting = harness.start({ path: '/bad' }, 10);
  recordCrashes(harness, '/bad', 3);
  harness.gate.onQuarantineChanged(20);
  assert.is(harness.outcomeOf(waiting), 'quarantined');
  assert.equal(harness.aborted, [harness.running[1]?.executionId]);
});

test('requests after two crashes run one at a time, and others pass them', () => {
  const harness = createHarness();
  recordCrashes(harness, '/one', 2);
  recordCrashes(harness, '/two', 2);
  const first = harness.start({ path: '/one' }, 10);
  const second = harness.start({ path: '/two' }, 10);
  const other = harness.start({ path: '/other' }, 10);
  assert.equal(harness.startedCalls.slice(1), [first, other]);
  harness.finish(1, 20);
  assert.equal(harness.startedCalls.slice(1), [first, other, second]);
});

test('an optional request after two crashes is declined while another one runs', () => {
  const harness = createHarness();
  recordCrashes(harness, '/one', 2);
  harness.start({ path: '/one' }, 10);
  const second = harness.start({ optional: true, path: '/one' }, 10);
  assert.is(harness.outcomeOf(second), 'busy');
});

test('the crash is reported with the requests that were running, the latest first', () => {
  const harness = createHarness();
  harness.start({ path: '/earlier' }, 10);
  harness.start({ path: '/later' }, 20);
  harness.finish(1, 30, lostConnection);
  harness.finish(2, 30, lostConnection);
  harness.gate.onListenerChecked(true, 31);
  const runs = harness.crashes.flat();
  assert.equal(
    runs.map(({ request: { path }, crashedAt, runMilliseconds }) => [
      path,
      crashedAt,
      runMilliseconds,
    ]),
    [
      ['/later', 30, 10],
      ['/earlier', 30, 20],
    ],
  );
});

test('a response shows that a suspected request is innocent, unless it is an error of the server', () => {
  for (const [status, crashes] of [
    [200, 0],
    [404, 0],
    [500, 1],
    [504, 1],
  ] as const) {
    const harness = createHarness();
    recordCrashes(harness, '/one', 1);
    harness.start({ path: '/one' }, 10);
    harness.finish(1, 20, { kind: 'answered', status });
    const { quarantine } = harness;
    assert.is(quarantine.suspicionOf(createStartFrame({ path: '/one' }), 20).crashes, crashes);
  }
});

test.run();
