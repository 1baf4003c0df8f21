import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateBench } from './gate-setup.js';

test('the earliest deadline goes first, so that no request waits itself to death behind a patient one', () => {
  const bench = new GateBench(1);
  const running = bench.offer();
  const patient = bench.offer({ within: 5_000 });
  const urgent = bench.offer({ within: 100 });
  bench.finish(running);
  assert.is(bench.stateOf(urgent), 'start');
  assert.is(bench.stateOf(patient), 'waiting');
});

test('a waiting request that can no longer finish is refused before its deadline', () => {
  const bench = new GateBench(1);
  bench.learn(100);
  bench.offer();
  const waiting = bench.offer({ within: 250 });
  bench.time += 149;
  bench.add(bench.gate.tick(bench.now));
  assert.is(bench.stateOf(waiting), 'waiting');
  bench.time += 1;
  bench.add(bench.gate.tick(bench.now));
  assert.is(bench.stateOf(waiting), 'no-slot');
});

test('a request whose caller has gone leaves the queue, a started one stays', () => {
  const bench = new GateBench(1);
  const running = bench.offer();
  const waiting = bench.offer();
  assert.is(bench.gate.cancelWaiting(waiting), true);
  assert.is(bench.gate.cancelWaiting(running), false);
  assert.is(bench.gate.occupied, 1);
  bench.finish(running);
  assert.is(bench.stateOf(waiting), 'waiting');
});

test('a tenant below its share goes before a noisy one with earlier deadlines', () => {
  const bench = new GateBench(4);
  const running = bench.offerMany(4, 'noisy');
  const noisy = bench.offer({ tenant: 'noisy', within: 100 });
  const quiet = bench.offer({ tenant: 'quiet' });
  bench.finish(running[0] ?? 0);
  assert.is(bench.stateOf(quiet), 'start');
  assert.is(bench.stateOf(noisy), 'waiting');
});

test('a tenant below its share is not refused for the length of a noisy queue that it overtakes', () => {
  const bench = new GateBench(2);
  bench.learn(100);
  const noisy = [2_000, 2_000, 180, 210, 260, 310].map((within) =>
    bench.offer({ tenant: 'noisy', within }),
  );
  const quiet = bench.offer({ tenant: 'quiet', within: 320 });
  assert.is(bench.stateOf(quiet), 'waiting');
  bench.finish(noisy[0] ?? 0, 'answered', 50);
  assert.is(bench.stateOf(quiet), 'start');
});

test('weights decide how many slots each tenant holds when both keep the gate full', () => {
  const bench = new GateBench(8, 0, [{ tenant: 'heavy', weight: 3 }]);
  const tenantOf = new Map<number, string>();
  const top = (tenant: string): void => {
    for (const execution of bench.offerMany(8, tenant)) tenantOf.set(execution, tenant);
  };
  const started: Record<string, number> = {};
  top('light');
  for (let step = 0; step < 200; step += 1) {
    top(step % 2 === 0 ? 'heavy' : 'light');
    const before = bench.decisions.length;
    const next = [...tenantOf.keys()].find((execution) => bench.stateOf(execution) === 'start');
    tenantOf.delete(next ?? 0);
    bench.finish(next ?? 0, 'answered', 1);
    for (const { kind, executionId } of bench.decisions.slice(before)) {
      const tenant = tenantOf.get(executionId) ?? '';
      if (kind === 'start' && step >= 50) started[tenant] = (started[tenant] ?? 0) + 1;
    }
  }
  const ratio = (started.heavy ?? 0) / (started.light ?? 1);
  assert.ok(ratio > 2.5 && ratio < 3.5, `heavy to light ${ratio}`);
});

test('an idle share is lent: a tenant that is alone uses every slot and the whole queue', () => {
  const bench = new GateBench(4, 0, [{ tenant: 'other', weight: 100 }]);
  const executions = bench.offerMany(12);
  assert.is(executions.filter((one) => bench.stateOf(one) === 'start').length, 4);
  assert.is(executions.filter((one) => bench.stateOf(one) === 'waiting').length, 8);
});

test('a quiet tenant gets its place in a queue that a noisy one has filled', () => {
  const bench = new GateBench(4);
  const noisy = bench.offerMany(12, 'noisy');
  const quiet = bench.offerMany(4, 'quiet');
  assert.equal(
    quiet.map((one) => bench.stateOf(one)),
    ['waiting', 'waiting', 'waiting', 'waiting'],
  );
  assert.is(noisy.filter((one) => bench.stateOf(one) === 'tenant-over-share').length, 4);
});

test('a ramp opens slots with time, faster with answers, and is not restarted by a repetition', () => {
  const bench = new GateBench(10, 10_000);
  const limit = (): number | undefined => bench.gate.load(bench.now)?.limit;
  assert.is(limit(), 2);
  bench.time += 5_000;
  assert.is(limit(), 6);
  bench.announce(10);
  assert.is(limit(), 6);
  bench.learn(0, 50);
  assert.is(limit(), 8);
  bench.time += 5_000;
  assert.is(limit(), 10);
});

test('an upstream that comes back after refused connections starts cold again', () => {
  const bench = new GateBench(10, 10_000);
  bench.time += 10_000;
  for (const execution of bench.offerMany(2)) bench.finish(execution, 'not-reached');
  bench.time += 500;
  bench.finish(bench.offer());
  assert.is(bench.gate.load(bench.now)?.limit, 2);
  assert.is(bench.gate.load(bench.now)?.state, 'warming');
});

test.run();
