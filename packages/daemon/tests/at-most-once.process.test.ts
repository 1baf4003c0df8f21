import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { countSummaries, newKey, summaryOf } from './shared/caller.js';
import {
  executionsByKey,
  homeOf,
  issue,
  resendUntilFinal,
  waitForHomes,
} from './shared/keyed-calls.js';
import { counterOf, inFlightOf, planOf, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** A third of the default, so that a takeover comes sooner. */
const leaseMilliseconds = 1_000;
/** The question for a key's home says that it has not run, which voids attempts of the next 500 ms. */
const voidMilliseconds = 1_000;
const pauseMilliseconds = 4 * leaseMilliseconds;

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
  other: FleetServer;
}

const test = suite<Context>('at most once');

test.before(async (context) => {
  const issuance = [1, 2, 3].map((number) => planOf('issuance', number));
  context.fleet = await startTestFleet({
    nodeFlags: ['--lease-milliseconds', String(leaseMilliseconds)],
    plans: [...issuance, planOf('provenance', 4), planOf('provenance', 5)],
  });
  context.entry = context.fleet.server('provenance-4');
  context.other = context.fleet.server('provenance-5');
  await waitForHomes(context.entry);
  await waitForHomes(context.other);
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function assertAtMostOnce(fleet: ProcessFleet): Promise<void> {
  for (const [key, count] of await executionsByKey(fleet)) {
    assert.is(count, 1, `key ${key} ran ${count} times`);
  }
}

// A resend must get the recorded answer of the first run, through whichever node it comes.
test('a resend through any node gets the recorded answer', async ({ fleet }) => {
  const key = newKey();
  const results = [];
  for (const entry of fleet.servers.values()) results.push(await issue(entry, key));
  assert.equal(countSummaries(results), { 'whole answered 200': fleet.servers.size });
  for (const { body } of results) assert.ok(results[0]?.body.equals(body));
  assert.is((await executionsByKey(fleet)).get(key), 1);
});

// Two entries that receive the same key at once must not both start it.
test('simultaneous resends join the run that is in progress', async ({ entry, fleet, other }) => {
  const key = newKey();
  const pending = [entry, other, entry, other].map((node) => issue(node, key, '?ms=300'));
  const results = await Promise.all(pending);
  assert.equal(countSummaries(results), { 'whole answered 200': results.length });
  assert.is((await executionsByKey(fleet)).get(key), 1);
});

// One key for two requests would let the second caller believe that its request ran.
test('a key that is used for another request is refused and counted', async ({ entry }) => {
  const key = newKey();
  assert.is((await issue(entry, key)).outcome, 'answered');
  const result = await issue(entry, key, '?other=1');
  assert.is(summaryOf(result), 'whole refused-not-run key-reused 422');
  assert.is(await counterOf(entry, 'refusals', { reason: 'key-reused', said_by: 'entry' }), 1);
});

// The home forgets with its process; without the takeover's cutoff a resend would run again.
test('requests on a home and gate that is killed run at most once', async (context) => {
  const { entry, fleet, other } = context;
  const victim = fleet.server('issuance-1');
  const keys = Array.from({ length: 18 }, () => newKey());
  const first = keys.map((key) => issue(entry, key, '?ms=1500'));
  await waitFor('the victim runs requests', async () => (await inFlightOf(victim)) > 0);
  victim.node.kill('SIGKILL');
  const told = await Promise.all(first);
  for (const { isWhole, outcome } of told) {
    assert.ok(isWhole && ['answered', 'outcome-unknown'].includes(outcome), JSON.stringify(told));
  }
  const entries = [other, fleet.server('issuance-2'), entry];
  const final = await Promise.all(keys.map((key) => resendUntilFinal(entries, key, '?ms=1500')));
  for (const [index, { outcome }] of told.entries()) {
    if (outcome === 'answered') assert.is(final[index]?.outcome, 'answered');
  }
  await assertAtMostOnce(fleet);
});

/** A new key that the given server is the home of. */
async function keyOfHome(entry: FleetServer, home: string): Promise<string> {
  const tries = 500;
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const key = newKey();
    if ((await homeOf(entry, key)) === home) return key;
  }
  throw new Error(`${home} is the home of none of ${tries} keys`);
}

// A home that was paused past its lease still believes that it is the home. The second one is the only
// server of its availability zone: nobody there can find it dead, so its keys got no answer for ever.
for (const { name, where } of [
  { name: 'issuance-2', where: 'beside another server' },
  { name: 'issuance-3', where: 'alone in its availability zone' },
]) {
  test(`a paused home ${where} runs nothing again when it resumes`, async (context) => {
    const { entry, fleet, other } = context;
    await waitForHomes(entry);
    const home = fleet.server(name);
    const key = await keyOfHome(entry, name);
    const fresh = await keyOfHome(entry, name);
    await sleep(voidMilliseconds);
    assert.is((await issue(entry, key)).outcome, 'answered');
    home.node.kill('SIGSTOP');
    await sleep(pauseMilliseconds);
    const entries = [fleet.server('provenance-4'), fleet.server('provenance-5')];
    const during = await resendUntilFinal(entries, key);
    const freshResult = await resendUntilFinal(entries, fresh);
    for (const node of entries) await waitForHomes(node);
    home.node.kill('SIGCONT');
    const after = await Promise.all([
      resendUntilFinal([home], key),
      resendUntilFinal([other], key),
    ]);
    await resendUntilFinal([home], fresh);
    for (const { outcome, reason } of [during, ...after]) {
      assert.ok(outcome === 'answered' || reason === 'created-before-takeover', reason);
    }
    assert.ok(['answered', 'outcome-unknown'].includes(freshResult.outcome));
    const counts = await executionsByKey(fleet);
    assert.is(counts.get(key), 1);
    assert.ok((counts.get(fresh) ?? 0) <= 1);
    await assertAtMostOnce(fleet);
  });
}

test.run();
