import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { countSummaries, newKey } from './shared/caller.js';
import type { CallResult } from './shared/caller.js';
import {
  executionsByKey,
  readHome,
  sendKeyedRequest,
  resendUntilFinal,
  waitForHomes,
} from './shared/keyed-calls.js';
import {
  readGauge,
  readInFlight,
  setPlatformFault,
  createPlan,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** A third of the default, so that a short outage lasts longer than several leases. */
const leaseMilliseconds = 1_000;
/**
 * Long enough for leases and promises to expire and, after a kill, for the node to become suspect
 * and then dead.
 */
const outagePartMilliseconds = 8_000;
const rangeCount = 16;
const keysPerRange = 2;
const issuanceServers = ['issuance-1', 'issuance-2', 'issuance-3'] as const;

interface SentRequest {
  readonly key: string;
  readonly result: CallResult;
}

interface Context {
  fleet: ProcessFleet;
  /** Nodes that keep running throughout the test. */
  entries: readonly FleetServer[];
  homeToKill: FleetServer;
  /** Key ranges whose home is killed. */
  killedHomeRanges: ReadonlySet<number>;
  /** Requests answered before or during the outage whose home keeps running. */
  keptByHomes: SentRequest[];
  /** Requests answered before or during the outage whose home is killed. */
  forgottenByKilledHome: SentRequest[];
}

const test = suite<Context>('keyed requests through an outage');

function rangeOf(key: string): number {
  return (createHash('sha256').update(key).digest()[0] ?? 0) % rangeCount;
}

function newKeyOf(range: number): string {
  for (;;) {
    const key = newKey();
    if (rangeOf(key) === range) return key;
  }
}

/**
 * Waits until the homes of the ranges are spread evenly over the servers; returns the home of each
 * range.
 */
async function waitForSpreadHomes(entry: FleetServer): Promise<readonly string[]> {
  let homes: string[] = [];
  await waitFor('the ranges are spread over the servers', async () => {
    homes = [];
    for (let range = 0; range < rangeCount; range += 1) {
      const key = newKeyOf(range);
      await sendKeyedRequest(entry, key);
      homes.push(await readHome(entry, key));
    }
    const counts = issuanceServers.map((name) => homes.filter((home) => home === name).length);
    return Math.min(...counts) >= Math.floor(rangeCount / issuanceServers.length);
  });
  return homes;
}

/**
 * Sends requests with new keys of every range through the entries in turn, until each has a final
 * outcome.
 */
async function sendToAllRanges(entries: readonly FleetServer[]): Promise<readonly SentRequest[]> {
  const numbers = Array.from({ length: rangeCount * keysPerRange }, (_, index) => index);
  return Promise.all(
    numbers.map(async (number) => {
      const key = newKeyOf(number % rangeCount);
      const first = number % entries.length;
      const entryOrder = [...entries.slice(first), ...entries.slice(0, first)];
      const result = await resendUntilFinal(entryOrder, key);
      return { key, result };
    }),
  );
}

function recordAnswered(context: Context, requests: readonly SentRequest[]): void {
  const summaries = countSummaries(requests.map(({ result }) => result));
  assert.equal(summaries, { 'complete answered 200': requests.length });
  for (const request of requests) {
    (context.killedHomeRanges.has(rangeOf(request.key))
      ? context.forgottenByKilledHome
      : context.keptByHomes
    ).push(request);
  }
}

/** Asserts that a resend through each entry gets the answer of the first execution. */
async function assertSameAnswers(
  entries: readonly FleetServer[],
  requests: readonly SentRequest[],
): Promise<void> {
  for (const { key, result } of requests) {
    for (const entry of entries) {
      const resent = await resendUntilFinal([entry], key);
      assert.is(resent.outcome, 'answered', resent.reason);
      assert.ok(resent.body.equals(result.body));
      assert.is(resent.headers['stand-in-execution'], result.headers['stand-in-execution']);
    }
  }
}

/** Asserts that no key was executed twice. Returns the number of executions of each key that was executed. */
async function assertRanAtMostOnce(fleet: ProcessFleet): Promise<ReadonlyMap<string, number>> {
  const counts = await executionsByKey(fleet);
  for (const [key, count] of counts) assert.is(count, 1, `key ${key} ran ${count} times`);
  return counts;
}

test.before(async (context) => {
  context.fleet = await startTestFleet({
    nodeFlags: ['--lease-milliseconds', String(leaseMilliseconds)],
    plans: [
      ...[1, 2, 3].map((number) => createPlan('issuance', number)),
      createPlan('provenance', 4),
      createPlan('provenance', 5),
    ],
  });
  const { fleet } = context;
  context.homeToKill = fleet.server('issuance-1');
  context.entries = ['provenance-4', 'issuance-2', 'provenance-5'].map((name) =>
    fleet.server(name),
  );
  context.keptByHomes = [];
  context.forgottenByKilledHome = [];
  await waitForHomes(fleet.server('provenance-4'));
  const homes = await waitForSpreadHomes(fleet.server('provenance-4'));
  context.killedHomeRanges = new Set(
    [...homes.keys()].filter((range) => homes[range] === 'issuance-1'),
  );
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

// If leases depended on the platform, they would expire, and issuance would stop for the rest of
// the outage.
test('issuance continues during a platform outage longer than the lease', async (context) => {
  const { entries, fleet } = context;
  const allServers = [...fleet.servers.values()];
  recordAnswered(context, await sendToAllRanges(allServers));
  const before = [...context.keptByHomes, ...context.forgottenByKilledHome];
  await setPlatformFault(fleet, { active: true, kind: 'down' });
  const outagePartEndsAt = performance.now() + outagePartMilliseconds;
  while (performance.now() < outagePartEndsAt) {
    recordAnswered(context, await sendToAllRanges(allServers));
    await sleep(leaseMilliseconds);
  }
  assert.is(await readGauge(fleet.server('issuance-2'), 'platform_reachable'), 0);
  await assertSameAnswers(entries, before);
  await assertSameAnswers([fleet.server('issuance-3')], context.forgottenByKilledHome);
  const counts = await assertRanAtMostOnce(fleet);
  for (const { key } of [...context.keptByHomes, ...context.forgottenByKilledHome])
    assert.is(counts.get(key), 1);
});

// Without the platform no node may take over a range, because a new home could not know which
// requests have run.
test('requests with keys of a home killed during the outage are unknown and do not run again', async (context) => {
  const { entries, fleet, forgottenByKilledHome, keptByHomes, killedHomeRanges, homeToKill } =
    context;
  const runningKeys = [...killedHomeRanges].map((range) => newKeyOf(range));
  const entryInTurn = (index: number): FleetServer => entries[index % entries.length] ?? homeToKill;
  const pendingRequests = runningKeys.map((key, index) =>
    sendKeyedRequest(entryInTurn(index), key, '?ms=3000'),
  );
  await waitFor(
    'the home to be killed runs requests',
    async () => (await readInFlight(homeToKill)) > 0,
  );
  homeToKill.node.kill('SIGKILL');
  for (const { isComplete, outcome, reason } of await Promise.all(pendingRequests)) {
    assert.ok(
      isComplete && ['answered', 'outcome-unknown'].includes(outcome),
      `${outcome} ${reason}`,
    );
  }
  const executionsBefore = await executionsByKey(fleet);
  const outagePartEndsAt = performance.now() + outagePartMilliseconds;
  for (let round = 0; performance.now() < outagePartEndsAt; round += 1) {
    for (const range of killedHomeRanges) {
      const key = newKeyOf(range);
      const knownKeys = runningKeys.concat(forgottenByKilledHome.map((forgotten) => forgotten.key));
      const earlierKey = knownKeys[round % knownKeys.length] ?? key;
      for (const requestedKey of [key, earlierKey]) {
        const { attempt, outcome, reason } = await sendKeyedRequest(
          entryInTurn(round),
          requestedKey,
        );
        assert.is(outcome, 'outcome-unknown', reason);
        assert.is(attempt, 'not-started', reason);
      }
      // The outcome is unknown to the caller, but the request with this key did not run.
      assert.is((await executionsByKey(fleet)).get(key), undefined);
    }
  }
  const executionsAfter = await assertRanAtMostOnce(fleet);
  for (const key of runningKeys) assert.is(executionsAfter.get(key), executionsBefore.get(key));
  await assertSameAnswers([entryInTurn(0)], keptByHomes.slice(-rangeCount));
});

// The takeover must complete, and must not repeat requests that the killed home has run.
test('the ranges are taken over after the outage and nothing runs twice', async (context) => {
  const { entries, fleet, forgottenByKilledHome, keptByHomes } = context;
  await setPlatformFault(fleet, { active: false, kind: 'down' });
  for (const entry of entries) await waitForHomes(entry);
  for (const { key } of forgottenByKilledHome) {
    const { outcome, reason } = await resendUntilFinal(entries, key);
    assert.is(`${outcome} ${reason}`, 'outcome-unknown created-before-takeover');
  }
  await assertSameAnswers(entries, keptByHomes);
  const after = await sendToAllRanges(entries);
  assert.equal(countSummaries(after.map(({ result }) => result)), {
    'complete answered 200': after.length,
  });
  const counts = await assertRanAtMostOnce(fleet);
  for (const { key } of [...forgottenByKilledHome, ...keptByHomes, ...after])
    assert.is(counts.get(key), 1);
});

test.run();
