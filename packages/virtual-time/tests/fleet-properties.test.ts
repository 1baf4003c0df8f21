import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  checkAlways,
  checkInForceEverywhere,
  checkOneOutcome,
  checkPlannedStops,
} from '../src/fleet-checks.js';
import type { FleetLog } from '../src/fleet-log.js';
import { FleetRun } from '../src/fleet-run.js';
import { arbitraryFaults, arbitrarySeed } from './fleet-setup.js';

function count(log: FleetLog, kind: string): number {
  return log.requests.filter(({ answers }) => answers[0]?.outcome.kind === kind).length;
}

// Guards at-most-once, what callers and operators are told, and the recovery from any faults.
test('under any faults every promise holds, and 20 s after the last one all is served', () => {
  const told = { answered: 0, 'outcome-unknown': 0, 'refused-not-run': 0 };
  const bodies = { answered: 0, cutAtCaller: 0, cutAtUpstream: 0 };
  fc.assert(
    fc.property(arbitrarySeed, arbitraryFaults(), (seed, faults) => {
      const run = new FleetRun({ seed });
      const { fleet } = run;
      run.injectAll(faults);
      run.settle();
      assert.equal(run.unserved(), []);
      assert.equal(checkAlways(fleet.log, fleet.now), []);
      for (const kind of ['answered', 'outcome-unknown', 'refused-not-run'] as const) {
        told[kind] += count(fleet.log, kind);
      }
      for (const { answers, body } of fleet.log.requests) {
        if (body?.state === 'cut') bodies.cutAtCaller += 1;
        if (body !== undefined && answers[0]?.outcome.kind === 'answered') bodies.answered += 1;
      }
      const ends = fleet.log.executions.filter(({ end }) => end === 'body-cut');
      bodies.cutAtUpstream += ends.length;
    }),
    { endOnFailure: true, numRuns: 16, seed: 2040 },
  );
  // Guards against runs in which the faults leave nothing to check.
  const isVaried = told.answered > 5_000 && told['outcome-unknown'] > 500;
  assert.ok(isVaried && told['refused-not-run'] > 200, JSON.stringify(told));
  const areBodiesVaried = bodies.answered > 500 && bodies.cutAtCaller > 50;
  assert.ok(areBodiesVaried && bodies.cutAtUpstream > 10, JSON.stringify(bodies));
});

// Guards planned stops and changes: with nothing else going on they are not to be felt at all.
test('planned stops and changes cut nothing off, make no key unknown and leave all answered', () => {
  fc.assert(
    fc.property(
      arbitrarySeed,
      arbitraryFaults(['stop', 'change', 'racing-changes'], 4),
      (seed, faults) => {
        const run = new FleetRun({ load: { entryAgeMilliseconds: 1_500 }, seed });
        const { fleet } = run;
        // One server of a service stops at a time; the last one would leave keys without a home.
        run.injectAll(faults.map((fault) => ({ ...fault, waitMilliseconds: 6_000 })));
        run.settle();
        assert.equal(run.unserved(), []);
        assert.equal(checkAlways(fleet.log, fleet.now), []);
        assert.equal(checkPlannedStops(fleet.log), []);
        assert.equal(checkInForceEverywhere(fleet.log), []);
      },
    ),
    { endOnFailure: true, numRuns: 6, seed: 2041 },
  );
});

// Guards the ordinary case: resends, doubled keys and callers that go away are not faults.
test('without faults every request that its caller waits for is answered', () => {
  for (const seed of [1, 2, 3]) {
    const run = new FleetRun({ seed });
    const { fleet } = run;
    fleet.run(10_000);
    run.settle();
    const unanswered = fleet.log.requests.filter(({ abandonedAt, answers }) => {
      const outcome = answers[0]?.outcome;
      // A key from the future and the attempts that its refusal makes void are refused on purpose.
      const isRefused = outcome?.kind === 'refused-not-run';
      const isOfKey = isRefused && ['key-from-future', 'void-attempt'].includes(outcome.reason);
      return abandonedAt === undefined && outcome?.kind !== 'answered' && !isOfKey;
    });
    assert.equal(unanswered, [], `seed ${seed}`);
    assert.equal([...checkAlways(fleet.log, fleet.now), ...checkPlannedStops(fleet.log)], []);
    assert.equal(checkOneOutcome(fleet.log, fleet.now), []);
  }
});

test.run();
