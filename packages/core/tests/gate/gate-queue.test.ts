import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateFixture } from './gate-fixture.js';

test('the earliest deadline starts first, so that no request expires behind one with a later deadline', () => {
  const fixture = new GateFixture(1);
  const running = fixture.submit();
  const laterDeadline = fixture.submit({ within: 5_000 });
  const earlierDeadline = fixture.submit({ within: 100 });
  fixture.finish(running);
  assert.is(fixture.decisionOf(earlierDeadline), 'start');
  assert.is(fixture.decisionOf(laterDeadline), 'waiting');
});

test('a waiting request that can no longer finish is refused before its deadline', () => {
  const fixture = new GateFixture(1);
  fixture.trainServiceTime(100);
  fixture.submit();
  const waiting = fixture.submit({ within: 250 });
  fixture.time += 149;
  fixture.record(fixture.gate.tick(fixture.now));
  assert.is(fixture.decisionOf(waiting), 'waiting');
  fixture.time += 1;
  fixture.record(fixture.gate.tick(fixture.now));
  assert.is(fixture.decisionOf(waiting), 'no-slot');
});

test('a cancelled request leaves the queue; a started one stays', () => {
  const fixture = new GateFixture(1);
  const running = fixture.submit();
  const waiting = fixture.submit();
  assert.is(fixture.gate.cancelWaiting(waiting), true);
  assert.is(fixture.gate.cancelWaiting(running), false);
  assert.is(fixture.gate.requestCount, 1);
  fixture.finish(running);
  assert.is(fixture.decisionOf(waiting), 'waiting');
});

test('a tenant below its share precedes a busier one with earlier deadlines', () => {
  const fixture = new GateFixture(4);
  const running = fixture.submitMany(4, 'noisy');
  const noisy = fixture.submit({ tenant: 'noisy', within: 100 });
  const quiet = fixture.submit({ tenant: 'quiet' });
  fixture.finish(running[0] ?? 0);
  assert.is(fixture.decisionOf(quiet), 'start');
  assert.is(fixture.decisionOf(noisy), 'waiting');
});

test('a tenant below its share is not refused because of a long queue of a busier tenant that it precedes', () => {
  const fixture = new GateFixture(2);
  fixture.trainServiceTime(100);
  const noisy = [2_000, 2_000, 180, 210, 260, 310].map((within) =>
    fixture.submit({ tenant: 'noisy', within }),
  );
  const quiet = fixture.submit({ tenant: 'quiet', within: 320 });
  assert.is(fixture.decisionOf(quiet), 'waiting');
  fixture.finish(noisy[0] ?? 0, 'answered', 50);
  assert.is(fixture.decisionOf(quiet), 'start');
});

test('the weights of tenants set the ratio of their started requests when all keep the gate full', () => {
  const fixture = new GateFixture(8, 0, [{ tenant: 'heavy', weight: 3 }]);
  const tenantOf = new Map<number, string>();
  const refill = (tenant: string): void => {
    for (const execution of fixture.submitMany(8, tenant)) tenantOf.set(execution, tenant);
  };
  const started: Record<string, number> = {};
  refill('light');
  for (let step = 0; step < 200; step += 1) {
    refill(step % 2 === 0 ? 'heavy' : 'light');
    const before = fixture.decisions.length;
    const next = [...tenantOf.keys()].find(
      (execution) => fixture.decisionOf(execution) === 'start',
    );
    tenantOf.delete(next ?? 0);
    fixture.finish(next ?? 0, 'answered', 1);
    for (const { kind, executionId } of fixture.decisions.slice(before)) {
      const tenant = tenantOf.get(executionId) ?? '';
      if (kind === 'start' && step >= 50) started[tenant] = (started[tenant] ?? 0) + 1;
    }
  }
  const ratio = (started.heavy ?? 0) / (started.light ?? 1);
  assert.ok(ratio > 2.5 && ratio < 3.5, `heavy to light ${ratio}`);
});

test('an unused share is available to others: a single tenant uses all slots and the whole queue', () => {
  const fixture = new GateFixture(4, 0, [{ tenant: 'other', weight: 100 }]);
  const executions = fixture.submitMany(12);
  assert.is(executions.filter((execution) => fixture.decisionOf(execution) === 'start').length, 4);
  assert.is(
    executions.filter((execution) => fixture.decisionOf(execution) === 'waiting').length,
    8,
  );
});

test('a tenant below its share gets its place in a queue that a busier one has filled', () => {
  const fixture = new GateFixture(4);
  const noisy = fixture.submitMany(12, 'noisy');
  const quiet = fixture.submitMany(4, 'quiet');
  assert.equal(
    quiet.map((execution) => fixture.decisionOf(execution)),
    ['waiting', 'waiting', 'waiting', 'waiting'],
  );
  assert.is(
    noisy.filter((execution) => fixture.decisionOf(execution) === 'tenant-over-share').length,
    4,
  );
});

test('slow start opens slots with time and with answers, and a repeated announcement does not restart it', () => {
  const fixture = new GateFixture(10, 10_000);
  const limit = (): number | undefined => fixture.gate.loadReport(fixture.now)?.limit;
  assert.is(limit(), 2);
  fixture.time += 5_000;
  assert.is(limit(), 6);
  fixture.announce(10);
  assert.is(limit(), 6);
  fixture.trainServiceTime(0, 50);
  assert.is(limit(), 8);
  fixture.time += 5_000;
  assert.is(limit(), 10);
});

test('an upstream that recovers after refused connections goes through slow start again', () => {
  const fixture = new GateFixture(10, 10_000);
  fixture.time += 10_000;
  for (const execution of fixture.submitMany(2)) fixture.finish(execution, 'not-reached');
  fixture.time += 500;
  fixture.finish(fixture.submit());
  assert.is(fixture.gate.loadReport(fixture.now)?.limit, 2);
  assert.is(fixture.gate.loadReport(fixture.now)?.state, 'warming');
});

test.run();
