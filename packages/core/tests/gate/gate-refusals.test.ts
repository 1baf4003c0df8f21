import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateFixture } from './gate-fixture.js';

interface RefusalCase {
  readonly reason: string;
  readonly requirement: string;
  readonly retryAfter: number;
  /** A gate with 2 slots and no slow start if undefined. */
  readonly fixture?: GateFixture;
  readonly provoke: (fixture: GateFixture) => number;
}

const refusalCases: readonly RefusalCase[] = [
  {
    requirement: 'a request of another service must not run at this upstream',
    provoke: (fixture) => fixture.submit({ service: 'parzellen' }),
    reason: 'not-serving-service',
    retryAfter: 1_000,
  },
  {
    requirement: 'a draining upstream must receive no new requests',
    provoke: (fixture) => {
      fixture.record(fixture.gate.setDraining(true, fixture.now));
      return fixture.submit();
    },
    reason: 'draining',
    retryAfter: 1_000,
  },
  {
    requirement: 'requests must not be sent to a port that refuses connections',
    provoke: (fixture) => {
      for (const execution of fixture.submitMany(2)) fixture.finish(execution, 'not-reached');
      return fixture.submit();
    },
    reason: 'upstream-down',
    retryAfter: 500,
  },
  {
    requirement: 'a request that cannot finish in time must not take a free slot',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submit();
      return fixture.submit({ within: 50 });
    },
    reason: 'deadline-too-short',
    retryAfter: 50,
  },
  {
    requirement: 'a request must not wait for a slot that becomes free too late for its deadline',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(2);
      return fixture.submit({ within: 140 });
    },
    reason: 'no-slot',
    retryAfter: 50,
  },
  {
    requirement: 'the queue must stay bounded',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(6);
      return fixture.submit();
    },
    reason: 'queue-full',
    retryAfter: 250,
  },
  {
    requirement: 'a tenant above its share must not displace another one from a full queue',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(2, 'noisy');
      fixture.submit({ tenant: 'quiet' });
      fixture.submitMany(3, 'noisy');
      return fixture.submit({ tenant: 'noisy' });
    },
    reason: 'tenant-over-share',
    retryAfter: 400,
  },
  {
    fixture: new GateFixture(2, 0, [], { queueLength: 1 }),
    requirement: 'the configured queue length must override the default',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(3);
      return fixture.submit();
    },
    reason: 'queue-full',
    retryAfter: 100,
  },
  {
    fixture: new GateFixture(2, 0, [], { queueLength: 0 }),
    requirement: 'with a queue length of 0 no request may wait',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(2);
      return fixture.submit();
    },
    reason: 'queue-full',
    retryAfter: 50,
  },
  {
    fixture: new GateFixture(4, 0, [], { maximumTenantInFlight: 2 }),
    requirement: 'a tenant must not exceed its limit, even while slots are free',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(2, 'noisy');
      fixture.submit({ tenant: 'quiet' });
      return fixture.submit({ tenant: 'noisy' });
    },
    reason: 'tenant-limit',
    retryAfter: 100,
  },
  {
    fixture: new GateFixture(1, 0, [], { maximumTenantInFlight: 2 }),
    requirement: 'waiting requests count towards the limit of their tenant',
    provoke: (fixture) => {
      fixture.trainServiceTime(100);
      fixture.submitMany(2);
      return fixture.submit();
    },
    reason: 'tenant-limit',
    retryAfter: 100,
  },
  {
    requirement: 'an upstream that has just started must not receive its full load at once',
    fixture: new GateFixture(10, 10_000),
    provoke: (fixture) => {
      fixture.submitMany(22);
      return fixture.submit();
    },
    reason: 'warming-up',
    retryAfter: 10,
  },
];

for (const {
  fixture: fixture = new GateFixture(),
  reason,
  requirement,
  provoke,
  retryAfter,
} of refusalCases) {
  test(`${reason}: ${requirement}`, () => {
    const execution = provoke(fixture);
    assert.is(fixture.decisionOf(execution), reason);
    assert.is(fixture.retryAfter(execution), retryAfter);
    const decision = fixture.decisions.find((made) => made.executionId === execution);
    assert.is(decision?.kind === 'refuse' && decision.refusal.load?.service, 'antrag');
  });
}

test('a tenant at its limit is served again once one of its requests has ended', () => {
  const fixture = new GateFixture(4, 0, [], { maximumTenantInFlight: 1 });
  const first = fixture.submit();
  assert.is(fixture.decisionOf(fixture.submit()), 'tenant-limit');
  fixture.finish(first);
  assert.is(fixture.decisionOf(fixture.submit()), 'start');
});

test('draining refuses queued requests at once and lets running ones finish', () => {
  const fixture = new GateFixture();
  const [first, second, third] = fixture.submitMany(3);
  fixture.record(fixture.gate.setDraining(true, fixture.now));
  assert.is(fixture.decisionOf(third ?? 0), 'draining');
  assert.is(fixture.gate.requestCount, 2);
  fixture.finish(first ?? 0);
  fixture.finish(second ?? 0);
  assert.is(fixture.gate.requestCount, 0);
  fixture.record(fixture.gate.setDraining(false, fixture.now));
  assert.is(fixture.decisionOf(fixture.submit()), 'start');
});

test('refused connections that are not consecutive do not mark the upstream as down', () => {
  const fixture = new GateFixture();
  for (const end of ['not-reached', 'failed', 'not-reached', 'answered', 'not-reached'] as const) {
    fixture.finish(fixture.submit(), end);
  }
  assert.is(fixture.decisionOf(fixture.submit()), 'start');
});

test('after the upstream departs, queued requests are refused and running ones still counted', () => {
  const fixture = new GateFixture(1);
  const [running, waiting] = fixture.submitMany(2);
  fixture.record(fixture.gate.onUpstreamLeft(fixture.now));
  assert.is(fixture.decisionOf(waiting ?? 0), 'not-serving-service');
  assert.is(fixture.gate.loadReport(fixture.now), undefined);
  assert.is(fixture.gate.requestCount, 1);
  fixture.finish(running ?? 0);
  assert.is(fixture.gate.requestCount, 0);
});

test('an upstream that is down gets one trial at a time, and an answer brings it back', () => {
  const fixture = new GateFixture();
  for (const execution of fixture.submitMany(2)) fixture.finish(execution, 'not-reached');
  fixture.time += 500;
  const trial = fixture.submit();
  assert.is(fixture.decisionOf(trial), 'start');
  assert.is(fixture.decisionOf(fixture.submit()), 'upstream-down');
  fixture.finish(trial, 'not-reached');
  assert.is(fixture.decisionOf(fixture.submit()), 'upstream-down');
  fixture.time += 500;
  fixture.finish(fixture.submit());
  assert.is(fixture.decisionOf(fixture.submit()), 'start');
});

test('an unhealthy poll is ignored while requests are answered, and a healthy one does not mark the upstream as up', () => {
  const fixture = new GateFixture();
  fixture.finish(fixture.submit());
  fixture.record(fixture.gate.onPolled(false, undefined, fixture.now));
  assert.is(fixture.gate.loadReport(fixture.now)?.state, 'serving');
  fixture.time += 1_000;
  fixture.record(fixture.gate.onPolled(false, undefined, fixture.now));
  assert.is(fixture.decisionOf(fixture.submit()), 'upstream-down');
  fixture.record(fixture.gate.onPolled(true, undefined, fixture.now));
  assert.is(fixture.gate.loadReport(fixture.now)?.state, 'down');
  assert.is(fixture.decisionOf(fixture.submit()), 'start');
});

test('a polled load lowers the limit by at most half, never raises it, and expires', () => {
  const fixture = new GateFixture(10);
  const limitAfter = (inFlight: number): number | undefined => {
    fixture.record(fixture.gate.onPolled(true, inFlight, fixture.now));
    return fixture.gate.loadReport(fixture.now)?.limit;
  };
  assert.equal([0, 3, 1_000, 0].map(limitAfter), [10, 7, 5, 10]);
  fixture.record(fixture.gate.onPolled(true, 4, fixture.now));
  fixture.time += 3_001;
  assert.is(fixture.gate.loadReport(fixture.now)?.limit, 10);
});

test('failures count as the worst latency, so that fast failures do not attract load', () => {
  const fixture = new GateFixture();
  fixture.trainServiceTime(10);
  fixture.finish(fixture.submit({ within: 60_000 }), 'failed', 1);
  assert.is(Math.round(fixture.gate.loadReport(fixture.now)?.latencyMilliseconds ?? 0), 209);
});

// Entries avoid an upstream that reports a long latency. If an idle upstream kept reporting one, it
// would receive no request whose answer could correct it.
test('an idle upstream stops reporting the long latency of a single failure', () => {
  const fixture = new GateFixture();
  fixture.finish(fixture.submit(), 'failed', 1);
  assert.is(fixture.gate.loadReport(fixture.now)?.latencyMilliseconds, 2_000);
  fixture.time += 10_001;
  assert.is(fixture.gate.loadReport(fixture.now)?.latencyMilliseconds, 0);
  fixture.finish(fixture.submit(), 'answered', 10);
  assert.is(fixture.gate.loadReport(fixture.now)?.latencyMilliseconds, 10);
});

test('a frozen upstream reports the time since a request last started or ended as its latency', () => {
  const fixture = new GateFixture();
  fixture.trainServiceTime(10);
  fixture.submitMany(2);
  fixture.time += 700;
  assert.is(fixture.gate.loadReport(fixture.now)?.latencyMilliseconds, 700);
  assert.is(fixture.decisionOf(fixture.submit({ within: 800 })), 'no-slot');
});

test('an overestimated service time does not make an idle gate refuse requests', () => {
  const fixture = new GateFixture();
  fixture.trainServiceTime(5_000, 200);
  assert.is(fixture.decisionOf(fixture.submit({ within: 100 })), 'start');
});

test.run();
