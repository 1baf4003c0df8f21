import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { countSummaries, newKey, summaryOf } from './shared/caller.js';
import {
  executionsByKey,
  readHome,
  sendKeyedRequest,
  resendUntilFinal,
  waitForHomes,
} from './shared/keyed-calls.js';
import { readCounter, readInFlight, createPlan, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** A third of the default, so that takeovers happen sooner. */
const leaseMilliseconds = 1_000;
/**
 * Asking for the home of a key is answered with "not run", which makes attempts with that key void
 * for the next 500 ms.
 */
const voidAttemptMilliseconds = 1_000;
const pauseMilliseconds = 4 * leaseMilliseconds;

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
  other: FleetServer;
}

const test = suite<Context>('at most once');

test.before(async (context) => {
  const issuance = [1, 2, 3].map((number) => createPlan('issuance', number));
  context.fleet = await startTestFleet({
    nodeFlags: ['--lease-milliseconds', String(leaseMilliseconds)],
    plans: [...issuance, createPlan('provenance', 4), createPlan('provenance', 5)],
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

// A resend must get the recorded answer of the first execution, whichever node receives it.
test('a resend through any node gets the recorded answer', async ({ fleet }) => {
  const key = newKey();
  const results = [];
  for (const entry of fleet.servers.values()) results.push(await sendKeyedRequest(entry, key));
  assert.equal(countSummaries(results), { 'complete answered 200': fleet.servers.size });
  for (const { body } of results) assert.ok(results[0]?.body.equals(body));
  assert.is((await executionsByKey(fleet)).get(key), 1);
});

// Two entries that receive the same key at the same time must not both start an execution.
test('concurrent resends join the execution in progress', async ({ entry, fleet, other }) => {
  const key = newKey();
  const pending = [entry, other, entry, other].map((node) =>
    sendKeyedRequest(node, key, '?ms=300'),
  );
  const results = await Promise.all(pending);
  assert.equal(countSummaries(results), { 'complete answered 200': results.length });
  assert.is((await executionsByKey(fleet)).get(key), 1);
});

// If a key were accepted for a different request, its caller would get the answer of the first
// request and believe that its own had run.
test('a key that is reused for another request is refused and counted', async ({ entry }) => {
  const key = newKey();
  assert.is((await sendKeyedRequest(entry, key)).outcome, 'answered');
  const result = await sendKeyedRequest(entry, key, '?other=1');
  assert.is(summaryOf(result), 'complete refused-not-run key-reused 422');
  assert.is(await readCounter(entry, 'refusals', { reason: 'key-reused', said_by: 'entry' }), 1);
});

// A killed home loses its key records. Unless the new home rejects keys created before the
// takeover, a resend would run again.
test('requests run at most once when the node that is home and gate is killed', async (context) => {
  const { entry, fleet, other } = context;
  const killedServer = fleet.server('issuance-1');
  const keys = Array.from({ length: 18 }, () => newKey());
  const firstRequests = keys.map((key) => sendKeyedRequest(entry, key, '?ms=1500'));
  await waitFor(
    'the server to be killed runs requests',
    async () => (await readInFlight(killedServer)) > 0,
  );
  killedServer.node.kill('SIGKILL');
  const firstResults = await Promise.all(firstRequests);
  for (const { isComplete, outcome } of firstResults) {
    assert.ok(
      isComplete && ['answered', 'outcome-unknown'].includes(outcome),
      JSON.stringify(firstResults),
    );
  }
  const entries = [other, fleet.server('issuance-2'), entry];
  const finalResults = await Promise.all(
    keys.map((key) => resendUntilFinal(entries, key, '?ms=1500')),
  );
  for (const [index, { outcome }] of firstResults.entries()) {
    if (outcome === 'answered') assert.is(finalResults[index]?.outcome, 'answered');
  }
  await assertAtMostOnce(fleet);
});

/** Creates a key whose home is the given server. */
async function newKeyOfHome(entry: FleetServer, home: string): Promise<string> {
  const maximumAttempts = 500;
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const key = newKey();
    if ((await readHome(entry, key)) === home) return key;
  }
  throw new Error(`${home} is the home of none of ${maximumAttempts} keys`);
}

// A home that was paused for longer than its lease still acts as the home when it resumes. The
// second case pauses the only server of an availability zone: no other node in that zone can detect
// that it is dead. Because of this, requests with its keys used to be left without an answer.
for (const { name, where } of [
  { name: 'issuance-2', where: 'with another server in its availability zone' },
  { name: 'issuance-3', where: 'alone in its availability zone' },
]) {
  test(`a paused home ${where} repeats no execution when it resumes`, async (context) => {
    const { entry, fleet, other } = context;
    await waitForHomes(entry);
    const home = fleet.server(name);
    const key = await newKeyOfHome(entry, name);
    const unusedKey = await newKeyOfHome(entry, name);
    await sleep(voidAttemptMilliseconds);
    const firstResult = await sendKeyedRequest(entry, key);
    assert.is(firstResult.outcome, 'answered', summaryOf(firstResult));
    home.node.kill('SIGSTOP');
    await sleep(pauseMilliseconds);
    const entries = [fleet.server('provenance-4'), fleet.server('provenance-5')];
    const resultDuringPause = await resendUntilFinal(entries, key);
    const unusedKeyResult = await resendUntilFinal(entries, unusedKey);
    for (const node of entries) await waitForHomes(node);
    home.node.kill('SIGCONT');
    const resultsAfterResume = await Promise.all([
      resendUntilFinal([home], key),
      resendUntilFinal([other], key),
    ]);
    await resendUntilFinal([home], unusedKey);
    for (const { outcome, reason } of [resultDuringPause, ...resultsAfterResume]) {
      assert.ok(outcome === 'answered' || reason === 'created-before-takeover', reason);
    }
    assert.ok(['answered', 'outcome-unknown'].includes(unusedKeyResult.outcome));
    const counts = await executionsByKey(fleet);
    assert.is(counts.get(key), 1);
    assert.ok((counts.get(unusedKey) ?? 0) <= 1);
    await assertAtMostOnce(fleet);
  });
}

test.run();
