import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DeclineReason } from '../../src/index.js';
import type { GateEvent } from '../../src/index.js';
import { GateHarness } from './gate-harness.js';

/** Operators search log lines for fields in this order, so it is part of the interface. */
const fieldsByEvent: Readonly<Record<string, readonly string[]>> = {
  'request-cancelled': ['from', 'request', 'route', 'state'],
  'request-declined': [
    'from',
    'request',
    'route',
    'expected',
    'limit',
    'needed',
    'reason',
    'remaining',
    'running',
    'waiting',
  ],
  'request-finished': [
    'from',
    'request',
    'route',
    'limit',
    'running',
    'slowdown',
    'waited',
    'late',
    'milliseconds',
    'outcome',
    'status',
  ],
  'request-started': ['from', 'request', 'route', 'limit', 'running', 'slowdown', 'waited'],
};

/** Events of a gate with one slot that runs a request, declines one when it stops and cancels one. */
function recordEvents(): readonly GateEvent[] {
  const events: GateEvent[] = [];
  const harness = new GateHarness(1, (event) => events.push(event));
  harness.start();
  const cancelledCall = harness.start();
  harness.start();
  harness.gate.cancel('entry', 1, { callId: cancelledCall, kind: 'cancel' }, 1);
  harness.gate.stop({ exitsAt: 5_000, gateClosesFrom: 2 }, 2);
  harness.finish(0, 5);
  return events;
}

for (const [event, names] of Object.entries(fieldsByEvent)) {
  test(`${event} has its fields in the documented order`, () => {
    const recorded = recordEvents().find((candidate) => candidate.event === event);
    assert.equal(Object.keys(recorded?.fields ?? {}), names);
  });
}

test('a declined request tells what the gate knew', () => {
  const declined = recordEvents().find(({ event }) => event === 'request-declined');
  const { limit, reason, running } = declined?.fields ?? {};
  assert.equal(
    { limit, reason, running },
    { limit: 1, reason: DeclineReason.Draining, running: 1 },
  );
});

test.run();
