import type { HealthCheckResult } from '@peridotspring/upstreams/mesh';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServerHealthChecks } from '../src/mesh/server-health-checks.js';

const load = { running: 1, slots: 6, slowdown: 1, waiting: 0 };
const healthy: HealthCheckResult = {
  coldMilliseconds: 0,
  instanceId: 'i-1',
  isReady: true,
  load,
};

interface Harness {
  readonly checks: ServerHealthChecks;
  /** What the gate was told, and the paths that were checked. */
  readonly events: string[];
  now: number;
}

function createHarness(answer: HealthCheckResult | undefined, hasServer = false): Harness {
  const events: string[] = [];
  const harness = { events, now: 0 };
  const checks = new ServerHealthChecks({
    check: (path) => {
      events.push(`check ${path}`);
      harness.now += 5;
      return Promise.resolve(answer);
    },
    clock: () => harness.now,
    gate: {
      hasServer,
      onColdTimeChecked: (sentAt, cold, now) => events.push(`cold ${sentAt} ${cold} ${now}`),
      onProbeFinished: (now) => events.push(`finished ${now}`),
      onServerLoad: () => events.push('load'),
    },
    onPassed: (instance, slots) => events.push(`passed ${instance} ${slots}`),
    log: (event, fields) => events.push(`${event} ${JSON.stringify(fields)}`),
    onProbe: () => events.push('probe'),
    path: () => '/health',
    startedAt: 0,
  });
  return Object.assign(harness, { checks });
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

test('identifies a server that has not reported, and only once at a time', async () => {
  const harness = createHarness(healthy);
  harness.checks.tick(499);
  harness.now = 600;
  harness.checks.tick(600);
  harness.checks.tick(601);
  await settle();
  assert.equal(harness.events, [
    'check /health',
    'server-health-checked {"instance":"i-1","ready":true}',
    'passed i-1 6',
    'cold 600 0 605',
    'load',
  ]);
});

test('does not identify a server that has reported', () => {
  const harness = createHarness(healthy, true);
  harness.checks.tick(10_000);
  assert.equal(harness.events, []);
});

/** Answers that identify no server. */
const unidentified: readonly (readonly [string, HealthCheckResult | undefined])[] = [
  ['no answer', undefined],
  ['a server that is not ready', { ...healthy, isReady: false }],
  ['no identifier', { ...healthy, instanceId: undefined }],
  ['no load', { ...healthy, load: undefined }],
];

for (const [name, answer] of unidentified) {
  test(`${name} identifies no server, and the check is repeated after a delay`, async () => {
    const harness = createHarness(answer);
    harness.now = 600;
    harness.checks.tick(600);
    await settle();
    assert.not(harness.events.some((event) => /^(passed|cold|load)/.test(event)));
    harness.checks.tick(2_000);
    harness.checks.tick(3_700);
    assert.is(harness.events.filter((event) => event.startsWith('check')).length, 2);
  });
}

test('a probe tells the gate the cold time, with the time at which it was sent, and the load', async () => {
  const harness = createHarness({ ...healthy, coldMilliseconds: 700 });
  harness.now = 100;
  await harness.checks.probe();
  assert.equal(harness.events, [
    'probe',
    'check /health',
    'cold 100 700 105',
    'load',
    'finished 105',
  ]);
});

test('a probe that shows nothing still ends', async () => {
  const harness = createHarness({ ...healthy, coldMilliseconds: undefined, load: undefined });
  await harness.checks.probe();
  assert.equal(harness.events, ['probe', 'check /health', 'finished 5']);
});

test.run();
