import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  ablationVariants,
  chMittelland,
  chosenVariant,
  Mechanism,
  policyVariants,
  runSeeds,
  scenarios,
} from '../src/index.js';
import type { ClassResult, RunResult, Variant } from '../src/index.js';

const seeds = [1];

function measure(scenarioName: string, variant: Variant): RunResult {
  const scenario = scenarios.find(({ name }) => name === scenarioName);
  if (scenario === undefined) throw new Error(`no scenario ${scenarioName}`);
  return runSeeds(chMittelland, scenario, variant, seeds);
}

function baseline(name: string): Variant {
  return policyVariants.find((variant) => variant.name === name) ?? chosenVariant;
}

function without(mechanism: Mechanism): Variant {
  return ablationVariants.find((variant) => variant.without === mechanism) ?? chosenVariant;
}

function quantile(result: ClassResult, wanted: number): number {
  return result.quantiles([wanted])[0] ?? Number.NaN;
}

function shareOf(count: number, result: ClassResult): number {
  return count / result.calls;
}

test('a run can be repeated exactly', () => {
  const first = measure('steady, trough', chosenVariant).classes.idempotent;
  const second = measure('steady, trough', chosenVariant).classes.idempotent;
  assert.equal(first.latencies, second.latencies);
});

test('never: polls of the endpoints cost more than their budget of 1 %', () => {
  for (const scenario of ['steady, trough', 'steady, peak']) {
    const { pollSlotMilliseconds, slotMilliseconds } = measure(scenario, chosenVariant);
    assert.ok(pollSlotMilliseconds <= 0.01 * slotMilliseconds, scenario);
  }
});

test('never: at the peak the tail is not shorter than with a random choice', () => {
  const chosen = measure('steady, peak', chosenVariant).classes.idempotent;
  const random = measure('steady, peak', baseline('random')).classes.idempotent;
  assert.ok(quantile(chosen, 0.99) < 0.92 * quantile(random, 0.99));
});

test('never: one slow server decides the tail', () => {
  const scenario = 'one server five times slower';
  const chosen = measure(scenario, chosenVariant).classes.idempotent;
  const leastInFlight = measure(scenario, baseline('least in-flight')).classes.idempotent;
  assert.ok(quantile(chosen, 0.99) < 0.85 * quantile(leastInFlight, 0.99));
});

test('never: trials of a lower limit turn calls away while all servers are equally slow', () => {
  const chosen = measure('all servers twice as slow', chosenVariant).classes;
  assert.ok(shareOf(chosen.idempotent.refused, chosen.idempotent) < 0.015);
  assert.ok(shareOf(chosen['non-idempotent'].refused, chosen['non-idempotent']) < 0.01);
});

test('never: calls queue behind the lowered limit of a slow server', () => {
  const chosen = measure('one server five times slower', chosenVariant).classes['non-idempotent'];
  assert.ok(quantile(chosen, 0.999) < 1_100);
  assert.is(chosen.wronglyRefused, 0);
});

test('never: a server that fails fast attracts the load', () => {
  const scenario = 'one server fails fast';
  const chosen = measure(scenario, chosenVariant).classes;
  const leastInFlight = measure(scenario, baseline('least in-flight')).classes;
  assert.ok(shareOf(chosen.idempotent.unknown, chosen.idempotent) < 0.001);
  assert.ok(shareOf(chosen['non-idempotent'].unknown, chosen['non-idempotent']) < 0.01);
  assert.ok(shareOf(leastInFlight.idempotent.unknown, leastInFlight.idempotent) > 0.1);
});

test('never: a burst meets stale reports without the correction for requests sent since', () => {
  const scenario = 'jump from trough to peak';
  const chosen = measure(scenario, chosenVariant).classes.idempotent;
  const uncorrected = measure(scenario, without(Mechanism.SentSinceReport)).classes.idempotent;
  assert.ok(quantile(chosen, 0.5) < 0.97 * quantile(uncorrected, 0.5));
});

test('never: a noisy tenant takes the slots of the others', () => {
  const chosen = measure('noisy tenant', chosenVariant).classes.idempotent;
  const unfair = measure('noisy tenant', without(Mechanism.FairShare)).classes.idempotent;
  assert.ok(shareOf(chosen.refused, chosen) < 0.001);
  assert.ok(shareOf(unfair.refused, unfair) > 0.3);
});

test('never: retries amplify an outage into an overload', () => {
  const scenario = 'half of all requests fail';
  const chosen = measure(scenario, chosenVariant).classes.idempotent;
  const unlimited = measure(scenario, without(Mechanism.RetryBudget)).classes.idempotent;
  assert.ok(shareOf(chosen.refused, chosen) < 0.01);
  assert.ok(shareOf(unlimited.refused, unlimited) > 0.1);
});

test.run();
