import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { GateEvent } from '../../src/index.js';
import { createServerReport } from '../fixtures.js';
import { GateHarness } from './gate-harness.js';

const lostConnection = { detail: 'reset', isConnectionLost: true, kind: 'failed' } as const;

/** A gate of whose two running requests both lose their connections, and the requests and servers of the crashes that it logs. */
function loseConnections(): {
  harness: GateHarness;
  crashes: () => readonly unknown[];
  instances: () => readonly unknown[];
} {
  const events: GateEvent[] = [];
  const harness = new GateHarness(4, (event) => events.push(event));
  harness.start();
  harness.start();
  harness.finish(0, 10, lostConnection);
  harness.finish(1, 10, lostConnection);
  const valuesOf = (name: string): readonly unknown[] =>
    events.filter(({ event }) => event === 'server-crashed').map(({ fields }) => fields[name]);
  const crashes = (): readonly unknown[] => valuesOf('requests');
  return { crashes, harness, instances: () => valuesOf('instance') };
}

test('a lost connection is answered once the check has shown whether the server crashed', () => {
  const { harness } = loseConnections();
  assert.is(harness.listenerChecks, 1);
  assert.equal(harness.replies, []);
  assert.is(harness.gate.inProgress, 2);
  harness.gate.onListenerChecked(true, 11);
  assert.equal([harness.outcomeOf(1), harness.outcomeOf(2)], ['failed', 'failed']);
  assert.is(harness.gate.inProgress, 0);
});

test('refused connections show that the server crashed while it ran these requests', () => {
  const { crashes, harness } = loseConnections();
  harness.gate.onListenerChecked(true, 11);
  assert.equal(crashes(), ['r1,r2']);
});

test('a server that accepts connections has not crashed', () => {
  const { crashes, harness } = loseConnections();
  harness.gate.onListenerChecked(false, 11);
  assert.equal(harness.outcomeOf(1), 'failed');
  assert.equal(crashes(), []);
});

test('a connection that is lost during a check is checked again', () => {
  const { crashes, harness } = loseConnections();
  harness.start();
  harness.finish(2, 10.5, lostConnection);
  harness.gate.onListenerChecked(false, 11);
  assert.is(harness.listenerChecks, 2);
  assert.is(harness.outcomeOf(3), undefined);
  harness.gate.onListenerChecked(true, 12);
  assert.equal(crashes(), ['r3']);
});

test('a new incarnation shows that the one before it crashed', () => {
  const { crashes, harness, instances } = loseConnections();
  harness.gate.onListenerChecked(false, 11);
  harness.gate.onServerReport(createServerReport({ instanceId: 'i-2', startedAt: 2_000 }), 500);
  assert.equal(crashes(), ['r1,r2']);
  assert.equal(instances(), ['i-1']);
});

test('a new incarnation says nothing about connections that were lost before a response, or long ago', () => {
  const answered = loseConnections();
  answered.harness.gate.onListenerChecked(false, 11);
  answered.harness.start({}, 20);
  answered.harness.finish(2, 30);
  const late = loseConnections();
  late.harness.gate.onListenerChecked(false, 11);
  for (const [{ crashes, harness }, now] of [[answered, 500] as const, [late, 6_000] as const]) {
    const report = createServerReport({ instanceId: 'i-2', startedAt: 2_000 });
    harness.gate.onServerReport(report, now);
    assert.equal(crashes(), []);
  }
});

test.run();
