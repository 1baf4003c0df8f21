import { rootKey } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { proposeChange } from '../src/fleet-changes.js';
import * as checks from '../src/fleet-checks.js';
import { FleetRun } from '../src/fleet-run.js';
import type { Intercept } from '../src/fleet-network.js';

// Each test breaks one mechanism from outside the core and guards against a check that sees nothing.

function runWith(intercept: Intercept): FleetRun {
  const run = new FleetRun({ intercept, seed: 7 });
  run.fleet.run(3_000);
  return run;
}

function assertReported(violations: readonly string[]): void {
  assert.ok(violations.length > 0, 'the check reports nothing');
}

test('a home whose lease never ends runs a key a second time', () => {
  const violations: string[] = [];
  // Which server is home of what differs between seeds.
  for (const seed of [6, 7, 8, 9]) {
    // The old home must not hear of the newer table either, or it would give its ranges up.
    let isDeaf = false;
    const run = new FleetRun({
      homeSettings: (server) => (server === 'server-3' ? { leaseMilliseconds: 1e6 } : undefined),
      intercept: (_from, to, frame) => {
        const isOfHomes = ['home-confirm', 'home-promise', 'home-table'].includes(frame.kind);
        return isDeaf && to.server === 'server-3' && isOfHomes ? [] : [frame];
      },
      load: { doubledShare: 1 },
      seed,
    });
    const { fleet } = run;
    isDeaf = true;
    fleet.freeze('server-3');
    fleet.run(10_000);
    fleet.resume('server-3');
    fleet.run(10_000);
    violations.push(...checks.checkAtMostOnce(fleet.log));
  }
  assertReported(violations);
});

test('a refusal in place of an answer is contradicted by the execution', () => {
  const { fleet } = runWith((_from, _to, frame) => {
    if (frame.kind !== 'keyed-outcome' || frame.outcome.kind !== 'answered') return [frame];
    const outcome = { kind: 'refused-not-run', reason: 'no-slot' } as const;
    return [{ ...frame, outcome }];
  });
  assertReported(checks.checkRefusals(fleet.log));
});

test('an answer to another request is noticed', () => {
  let previous: Uint8Array | undefined;
  const { fleet } = runWith((_from, _to, frame) => {
    if (frame.kind !== 'answer') return [frame];
    const body = previous ?? frame.body;
    previous = frame.body;
    return [{ ...frame, body }];
  });
  assertReported(checks.checkAnswersBelong(fleet.log));
});

const idleGate = {
  inFlight: 0,
  latencyMilliseconds: 20,
  limit: 10,
  queued: 0,
  service: 'issuance',
  state: 'serving',
} as const;
const streamedLoad = { abandonedShare: 0.5, keyedShare: 0, streamedShare: 1 } as const;

function runStreamed(intercept: Intercept): FleetRun {
  const run = new FleetRun({ intercept, load: streamedLoad, seed: 7 });
  run.fleet.run(3_000);
  return run;
}

test('a cut body that is passed on as ended counts as whole', () => {
  const { fleet } = runStreamed((_from, _to, frame) => {
    return frame.kind === 'body-cut' ? [{ ...frame, kind: 'body-end' }] : [frame];
  });
  assertReported(checks.checkBodies(fleet.log));
});

test('a lost piece of a body is noticed, and a repeated one', () => {
  for (const copies of [0, 2]) {
    const { fleet } = runStreamed((_from, _to, frame) => {
      return frame.kind === 'body-chunk' ? Array.from({ length: copies }, () => frame) : [frame];
    });
    assertReported(checks.checkBodies(fleet.log));
  }
});

test('an answer to a body that its caller has not sent is noticed', () => {
  const { fleet } = runStreamed((_from, _to, frame) => {
    if (frame.kind !== 'request-admitted') return [frame];
    const { callId } = frame;
    const answer = { body: new Uint8Array(), callId, headers: {}, streamedBody: false } as const;
    return [frame, { ...answer, kind: 'answer', load: idleGate, status: 200 }];
  });
  assertReported(checks.checkBodies(fleet.log));
});

test('a request that stays without an outcome is noticed, and one with two', () => {
  const run = new FleetRun({
    intercept: (_from, _to, frame) => (frame.kind === 'keyed-outcome' ? [] : [frame]),
    seed: 8,
    tickMilliseconds: 400,
  });
  const { fleet } = run;
  fleet.run(3_000);
  assertReported(checks.checkOneOutcome(fleet.log, fleet.now));
  const twice = new FleetRun({ seed: 9 }).fleet;
  const answered = twice.log.requests.find(({ answers }) => answers.length === 1);
  answered?.answers.push(...answered.answers);
  assertReported(checks.checkOneOutcome(twice.log, twice.now));
});

test('a gate that does not hear of its draining is noticed', () => {
  const { fleet } = runWith((_from, _to, frame) => [frame]);
  fleet.log.begin('drained', 'server-1', fleet.now);
  fleet.run(4_000);
  assertReported(checks.checkDrains(fleet.log));
});

test('a planned stop whose records get lost makes keys unknown', () => {
  const run = runWith((_from, _to, frame) => (frame.kind === 'records-transfer' ? [] : [frame]));
  const fault = { durationMilliseconds: 3_000, kind: 'stop', waitMilliseconds: 6_000 } as const;
  run.injectAll([0, 1, 2, 3].map((index) => ({ ...fault, index })));
  run.settle();
  assertReported(checks.checkPlannedStops(run.fleet.log));
});

test('a store that ignores the expected version puts two configurations in force', () => {
  const run = new FleetRun({
    alterOperation: (store, operation) =>
      operation.kind === 'compare-and-swap'
        ? { ...operation, expectedVersion: store.get(operation.key)?.version ?? 0 }
        : operation,
    seed: 10,
  });
  const fault = { durationMilliseconds: 0, index: 0, kind: 'racing-changes' } as const;
  run.injectAll(Array.from({ length: 4 }, () => ({ ...fault, waitMilliseconds: 500 })));
  const { log } = run.fleet;
  assertReported([...checks.checkRevisions(log), ...checks.checkChanges(log)]);
});

test('a revision that goes back at a node is noticed', () => {
  const { log } = new FleetRun({ seed: 11 }).fleet;
  const [first] = log.inForce;
  assert.ok(first);
  log.inForce.push(first);
  assertReported(checks.checkRevisions(log));
});

test('a store that reports the write of another operator for a write that took effect', () => {
  const run = new FleetRun({
    alterResult: (operation, result) => {
      if (result.kind !== 'written' || operation.kind !== 'compare-and-swap') return result;
      const { key, value } = operation;
      const root = JSON.parse(value) as { readonly changeIds?: readonly string[] };
      if (key !== rootKey || (root.changeIds?.length ?? 0) < 2) return result;
      const changeIds = root.changeIds?.map(() => 'another');
      const entry = { key, value: JSON.stringify({ ...root, changeIds }), version: result.version };
      return { entry, kind: 'conflict' };
    },
    seed: 12,
  });
  const { fleet } = run;
  for (const node of fleet.running) {
    proposeChange(fleet, node, ['issuance']);
    fleet.run(1_000);
  }
  run.settle();
  assertReported(checks.checkChanges(fleet.log));
});

test('a change that is not passed on is not in force everywhere', () => {
  const { fleet } = runWith((_from, _to, frame) =>
    frame.kind === 'configuration-push' || frame.kind === 'configuration-pull' ? [] : [frame],
  );
  assertReported(checks.checkInForceEverywhere(fleet.log));
});

test('a service that stays down is noticed', () => {
  const run = new FleetRun({ seed: 13 });
  for (const { server, service } of run.fleet.servers) {
    if (service === 'retirement') run.fleet.upstreams.get(server)?.crash();
  }
  assertReported(run.unserved());
});

test.run();
