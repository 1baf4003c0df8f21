import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateBench } from './gate-setup.js';

interface RefusalCase {
  readonly reason: string;
  readonly guards: string;
  readonly retryAfter: number;
  /** A gate with 2 slots and no ramp if undefined. */
  readonly bench?: GateBench;
  readonly provoke: (bench: GateBench) => number;
}

const refusalCases: readonly RefusalCase[] = [
  {
    guards: 'a request of another service must not run at this upstream',
    provoke: (bench) => bench.offer({ service: 'parzellen' }),
    reason: 'not-serving-service',
    retryAfter: 1_000,
  },
  {
    guards: 'a draining upstream must receive no new work',
    provoke: (bench) => {
      bench.add(bench.gate.setDraining(true, bench.now));
      return bench.offer();
    },
    reason: 'draining',
    retryAfter: 1_000,
  },
  {
    guards: 'requests must not be sent to a port that refuses connections',
    provoke: (bench) => {
      for (const execution of bench.offerMany(2)) bench.finish(execution, 'not-reached');
      return bench.offer();
    },
    reason: 'upstream-down',
    retryAfter: 500,
  },
  {
    guards: 'a request that cannot finish in time must not take a free slot',
    provoke: (bench) => {
      bench.learn(100);
      bench.offer();
      return bench.offer({ within: 50 });
    },
    reason: 'deadline-too-short',
    retryAfter: 50,
  },
  {
    guards: 'a request must not wait for a slot that frees up too late for it',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(2);
      return bench.offer({ within: 140 });
    },
    reason: 'no-slot',
    retryAfter: 50,
  },
  {
    guards: 'the queue must stay bounded',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(6);
      return bench.offer();
    },
    reason: 'queue-full',
    retryAfter: 250,
  },
  {
    guards: 'a noisy tenant must not push another one out of a full queue',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(2, 'noisy');
      bench.offer({ tenant: 'quiet' });
      bench.offerMany(3, 'noisy');
      return bench.offer({ tenant: 'noisy' });
    },
    reason: 'tenant-over-share',
    retryAfter: 400,
  },
  {
    bench: new GateBench(2, 0, [], { queueLength: 1 }),
    guards: 'the declared length of the queue must replace the usual one',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(3);
      return bench.offer();
    },
    reason: 'queue-full',
    retryAfter: 100,
  },
  {
    bench: new GateBench(2, 0, [], { queueLength: 0 }),
    guards: 'with a queue of no length nothing may wait',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(2);
      return bench.offer();
    },
    reason: 'queue-full',
    retryAfter: 50,
  },
  {
    bench: new GateBench(4, 0, [], { maximumTenantInFlight: 2 }),
    guards: 'a tenant must not hold more than its bound, even while slots are free',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(2, 'noisy');
      bench.offer({ tenant: 'quiet' });
      return bench.offer({ tenant: 'noisy' });
    },
    reason: 'tenant-limit',
    retryAfter: 100,
  },
  {
    bench: new GateBench(1, 0, [], { maximumTenantInFlight: 2 }),
    guards: 'requests that wait count towards the bound of their tenant',
    provoke: (bench) => {
      bench.learn(100);
      bench.offerMany(2);
      return bench.offer();
    },
    reason: 'tenant-limit',
    retryAfter: 100,
  },
  {
    guards: 'a cold upstream must not receive its full load at once',
    bench: new GateBench(10, 10_000),
    provoke: (bench) => {
      bench.offerMany(22);
      return bench.offer();
    },
    reason: 'warming-up',
    retryAfter: 10,
  },
];

for (const { bench = new GateBench(), reason, guards, provoke, retryAfter } of refusalCases) {
  test(`${reason}: ${guards}`, () => {
    const execution = provoke(bench);
    assert.is(bench.stateOf(execution), reason);
    assert.is(bench.retryAfter(execution), retryAfter);
    const decision = bench.decisions.find((made) => made.executionId === execution);
    assert.is(decision?.kind === 'refuse' && decision.refusal.load?.service, 'antrag');
  });
}

test('a tenant at its bound is served again once one of its requests has ended', () => {
  const bench = new GateBench(4, 0, [], { maximumTenantInFlight: 1 });
  const first = bench.offer();
  assert.is(bench.stateOf(bench.offer()), 'tenant-limit');
  bench.finish(first);
  assert.is(bench.stateOf(bench.offer()), 'start');
});

test('draining refuses queued requests at once and lets running ones finish', () => {
  const bench = new GateBench();
  const [first, second, third] = bench.offerMany(3);
  bench.add(bench.gate.setDraining(true, bench.now));
  assert.is(bench.stateOf(third ?? 0), 'draining');
  assert.is(bench.gate.occupied, 2);
  bench.finish(first ?? 0);
  bench.finish(second ?? 0);
  assert.is(bench.gate.occupied, 0);
  bench.add(bench.gate.setDraining(false, bench.now));
  assert.is(bench.stateOf(bench.offer()), 'start');
});

test('refused connections that are not in a row are no outage', () => {
  const bench = new GateBench();
  for (const end of ['not-reached', 'failed', 'not-reached', 'answered', 'not-reached'] as const) {
    bench.finish(bench.offer(), end);
  }
  assert.is(bench.stateOf(bench.offer()), 'start');
});

test('a departed upstream receives no queued request, and its running ones are still counted', () => {
  const bench = new GateBench(1);
  const [running, waiting] = bench.offerMany(2);
  bench.add(bench.gate.leave(bench.now));
  assert.is(bench.stateOf(waiting ?? 0), 'not-serving-service');
  assert.is(bench.gate.load(bench.now), undefined);
  assert.is(bench.gate.occupied, 1);
  bench.finish(running ?? 0);
  assert.is(bench.gate.occupied, 0);
});

test('an upstream that is down gets one trial at a time, and an answer brings it back', () => {
  const bench = new GateBench();
  for (const execution of bench.offerMany(2)) bench.finish(execution, 'not-reached');
  bench.time += 500;
  const trial = bench.offer();
  assert.is(bench.stateOf(trial), 'start');
  assert.is(bench.stateOf(bench.offer()), 'upstream-down');
  bench.finish(trial, 'not-reached');
  assert.is(bench.stateOf(bench.offer()), 'upstream-down');
  bench.time += 500;
  bench.finish(bench.offer());
  assert.is(bench.stateOf(bench.offer()), 'start');
});

test('an unhealthy poll is not believed while requests are answered, and a healthy one is not enough', () => {
  const bench = new GateBench();
  bench.finish(bench.offer());
  bench.add(bench.gate.polled(false, undefined, bench.now));
  assert.is(bench.gate.load(bench.now)?.state, 'serving');
  bench.time += 1_000;
  bench.add(bench.gate.polled(false, undefined, bench.now));
  assert.is(bench.stateOf(bench.offer()), 'upstream-down');
  bench.add(bench.gate.polled(true, undefined, bench.now));
  assert.is(bench.gate.load(bench.now)?.state, 'down');
  assert.is(bench.stateOf(bench.offer()), 'start');
});

test('a polled load lowers the limit by half at most, raises it never and expires', () => {
  const bench = new GateBench(10);
  const limitAfter = (inFlight: number): number | undefined => {
    bench.add(bench.gate.polled(true, inFlight, bench.now));
    return bench.gate.load(bench.now)?.limit;
  };
  assert.equal([0, 3, 1_000, 0].map(limitAfter), [10, 7, 5, 10]);
  bench.add(bench.gate.polled(true, 4, bench.now));
  bench.time += 3_001;
  assert.is(bench.gate.load(bench.now)?.limit, 10);
});

test('failures count as the worst latency, so that failing fast attracts no load', () => {
  const bench = new GateBench();
  bench.learn(10);
  bench.finish(bench.offer({ within: 60_000 }), 'failed', 1);
  assert.is(Math.round(bench.gate.load(bench.now)?.latencyMilliseconds ?? 0), 209);
});

// Entries avoid an upstream that reports a long latency, and an idle upstream got no request that
// could have shown otherwise.
test('never: one failure makes an idle upstream report a long latency for good', () => {
  const bench = new GateBench();
  bench.finish(bench.offer(), 'failed', 1);
  assert.is(bench.gate.load(bench.now)?.latencyMilliseconds, 2_000);
  bench.time += 10_001;
  assert.is(bench.gate.load(bench.now)?.latencyMilliseconds, 0);
  bench.finish(bench.offer(), 'answered', 10);
  assert.is(bench.gate.load(bench.now)?.latencyMilliseconds, 10);
});

test('a frozen upstream reports the time for which nothing has ended', () => {
  const bench = new GateBench();
  bench.learn(10);
  bench.offerMany(2);
  bench.time += 700;
  assert.is(bench.gate.load(bench.now)?.latencyMilliseconds, 700);
  assert.is(bench.stateOf(bench.offer({ within: 800 })), 'no-slot');
});

test('an estimate that became too long does not close an idle gate', () => {
  const bench = new GateBench();
  bench.learn(5_000, 200);
  assert.is(bench.stateOf(bench.offer({ within: 100 })), 'start');
});

test.run();
