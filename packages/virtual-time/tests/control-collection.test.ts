import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { ControlStore } from '../src/control-store.js';
import { ConfigurationRun } from './control-configuration-setup.js';

const minute = 60_000;

interface StoredRoot {
  readonly pages: readonly (string | null)[];
  readonly drains?: string;
}

/** Keys that the root in the store refers to. */
function referencedKeys(store: ControlStore): readonly string[] {
  const text = store.get('configuration/root')?.value;
  if (text === undefined) return [];
  const { pages, drains } = JSON.parse(text) as StoredRoot;
  const keys = pages.flatMap((id, page) =>
    id === null ? [] : [`configuration/page/${page}/${id}`],
  );
  const values = keys.flatMap((key) => {
    const page = JSON.parse(store.get(key)?.value ?? '{}') as Readonly<Record<string, string>>;
    return Object.entries(page).map(([name, id]) => `configuration/service/${name}/${id}`);
  });
  return [...keys, ...values, ...(drains === undefined ? [] : [`configuration/drains/${drains}`])];
}

function assertNothingMissing(store: ControlStore): void {
  const missing = referencedKeys(store).filter((key) => store.get(key) === undefined);
  assert.equal(missing, [], 'the root refers to records that are gone');
}

function unreferencedKeys(store: ControlStore): readonly string[] {
  const referenced = new Set(referencedKeys(store));
  return store
    .keys()
    .filter((key) => /^configuration\/(page|service|drains)\//.test(key) && !referenced.has(key));
}

test('replaced records stay for an interval and are then deleted', () => {
  const run = new ConfigurationRun(8, 2, { seed: 31, tickMilliseconds: 50 });
  const { network } = run;
  const { store } = network;
  network.run(16 * minute);
  for (let change = 0; change < 10; change += 1) {
    run.propose(`server-${change % 8}`, ['a']);
    network.run(2_000);
  }
  network.run(4 * minute);
  assert.is(unreferencedKeys(store).length, 18, 'nothing was deleted early');
  network.run(7 * minute);
  assert.equal(unreferencedKeys(store), []);
  assert.is(store.deletedKeys, 18);
  assertNothingMissing(store);
  run.assertInForceEverywhere();
});

test('records of a proposer that died are found, also when the collecting node dies', () => {
  const run = new ConfigurationRun(8, 2, { seed: 32, tickMilliseconds: 50 });
  const { network } = run;
  const { store } = network;
  network.run(16 * minute);
  run.propose('server-3', ['a']);
  for (let step = 0; step < 50 && unreferencedKeys(store).length === 0; step += 1) network.run(1);
  network.crash('server-3');
  network.run(4 * minute);
  assert.is(unreferencedKeys(store).length, 1, 'the proposer died before its commit');
  const record = store.get('configuration/collection')?.value ?? '{}';
  const { collector } = JSON.parse(record) as { readonly collector?: string };
  assert.ok(collector !== undefined);
  network.crash(collector);
  network.run(30 * minute);
  assert.equal(unreferencedKeys(store), []);
});

test('a proposer that was paused past the deletion of its records does not commit them', () => {
  let deletions = 0;
  for (let pauseAfter = 1; pauseAfter <= 16; pauseAfter += 1) {
    const run = new ConfigurationRun(8, 2, { seed: 33, tickMilliseconds: 50 });
    const { network } = run;
    network.run(16 * minute);
    const proposal = run.propose('server-3', ['a']);
    network.run(pauseAfter);
    network.freeze('server-3');
    network.run(16 * minute);
    deletions += network.store.deletedKeys;
    network.resume('server-3');
    for (let step = 0; step < 100; step += 1) {
      network.run(50);
      assertNothingMissing(network.store);
    }
    assert.ok(proposal.result !== undefined);
    network.run(15_000);
    run.assertAnswersAreTrue();
    run.assertInForceEverywhere();
  }
  assert.ok(deletions > 0);
});

test('with deletions as fast as the store allows, no fault makes a root refer to a missing record', () => {
  let deleted = 0;
  let accepted = 0;
  fc.assert(
    fc.property(fc.nat(), fc.array(fc.nat(5), { minLength: 4, maxLength: 20 }), (seed, steps) => {
      const options = { seed, tickMilliseconds: 20, collectionIntervalMilliseconds: 20 };
      const run = new ConfigurationRun(8, 4, options);
      const { network } = run;
      const { store } = network;
      const faults = { lostAnswers: 0.2, lateEffects: 0.1, duplicates: 0.3, lateWatches: 0.3 };
      Object.assign(store.faults, faults);
      for (const [index, step] of steps.entries()) {
        const server = `server-${(index * 3 + step) % 8}`;
        if (step === 5) network.freeze(server);
        else run.propose(server, [`service-${step}`, 'shared'].slice(0, 1 + (index % 2)));
        for (let wait = 0; wait < 20 * (step + 1); wait += 1) {
          network.run(20);
          assertNothingMissing(store);
        }
        network.resume(server);
      }
      Object.assign(store.faults, {
        lostAnswers: 0,
        lateEffects: 0,
        duplicates: 0,
        lateWatches: 0,
      });
      network.run(40_000);
      assertNothingMissing(store);
      run.assertAnswersAreTrue();
      run.assertInForceEverywhere();
      deleted += store.deletedKeys;
      accepted += run.proposals.filter(({ result }) => result?.kind === 'accepted').length;
    }),
    { seed: 2050, numRuns: 30 },
  );
  assert.ok(deleted > 100 && accepted > 30, `${deleted} deleted, ${accepted} accepted`);
});

test.run();
