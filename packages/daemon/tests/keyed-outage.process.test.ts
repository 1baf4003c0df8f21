import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { countSummaries, newKey } from './shared/caller.js';
import type { CallResult } from './shared/caller.js';
import {
  executionsByKey,
  homeOf,
  issue,
  resendUntilFinal,
  waitForHomes,
} from './shared/keyed-calls.js';
import {
  gaugeOf,
  inFlightOf,
  injectPlatformFault,
  planOf,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** A third of the default, so that the outage outlasts several leases in little time. */
const leaseMilliseconds = 1_000;
/** Leases, promises and, after a kill, suspicion and death all end in this time. */
const outagePartMilliseconds = 8_000;
const ranges = 16;
const keysPerRange = 2;
const issuers = ['issuance-1', 'issuance-2', 'issuance-3'] as const;

interface Issued {
  readonly key: string;
  readonly result: CallResult;
}

interface Context {
  fleet: ProcessFleet;
  /** Nodes that live through all of it. */
  entries: readonly FleetServer[];
  victim: FleetServer;
  /** Ranges whose home is killed. */
  lost: ReadonlySet<number>;
  /** What was answered before or during the outage, by the homes that live on and by the victim. */
  kept: Issued[];
  forgotten: Issued[];
}

const test = suite<Context>('keyed requests through an outage');

function rangeOf(key: string): number {
  return (createHash('sha256').update(key).digest()[0] ?? 0) % ranges;
}

function newKeyOf(range: number): string {
  for (;;) {
    const key = newKey();
    if (rangeOf(key) === range) return key;
  }
}

/** The home of each range, once every server of the service has its share of them. */
async function spreadHomes(entry: FleetServer): Promise<readonly string[]> {
  let homes: string[] = [];
  await waitFor('the ranges are spread', async () => {
    homes = [];
    for (let range = 0; range < ranges; range += 1) {
      const key = newKeyOf(range);
      await issue(entry, key);
      homes.push(await homeOf(entry, key));
    }
    const counts = issuers.map((name) => homes.filter((home) => home === name).length);
    return Math.min(...counts) >= Math.floor(ranges / issuers.length);
  });
  return homes;
}

/** Issues new keys of every range through the entries in turn; each has to be answered in the end. */
async function issueAll(entries: readonly FleetServer[]): Promise<readonly Issued[]> {
  const numbers = Array.from({ length: ranges * keysPerRange }, (_, index) => index);
  return Promise.all(
    numbers.map(async (number) => {
      const key = newKeyOf(number % ranges);
      const first = number % entries.length;
      const turn = [...entries.slice(first), ...entries.slice(0, first)];
      const result = await resendUntilFinal(turn, key);
      return { key, result };
    }),
  );
}

function remember(context: Context, issued: readonly Issued[]): void {
  const summaries = countSummaries(issued.map(({ result }) => result));
  assert.equal(summaries, { 'whole answered 200': issued.length });
  for (const one of issued) {
    (context.lost.has(rangeOf(one.key)) ? context.forgotten : context.kept).push(one);
  }
}

/** A resend through every entry gets the answer of the first run. */
async function assertRecorded(
  entries: readonly FleetServer[],
  issued: readonly Issued[],
): Promise<void> {
  for (const { key, result } of issued) {
    for (const entry of entries) {
      const again = await resendUntilFinal([entry], key);
      assert.is(again.outcome, 'answered', again.reason);
      assert.ok(again.body.equals(result.body));
      assert.is(again.headers['stand-in-execution'], result.headers['stand-in-execution']);
    }
  }
}

async function assertRanAtMostOnce(fleet: ProcessFleet): Promise<ReadonlyMap<string, number>> {
  const counts = await executionsByKey(fleet);
  for (const [key, count] of counts) assert.is(count, 1, `key ${key} ran ${count} times`);
  return counts;
}

test.before(async (context) => {
  context.fleet = await startTestFleet({
    nodeFlags: ['--lease-milliseconds', String(leaseMilliseconds)],
    plans: [
      ...[1, 2, 3].map((number) => planOf('issuance', number)),
      planOf('provenance', 4),
      planOf('provenance', 5),
    ],
  });
  const { fleet } = context;
  context.victim = fleet.server('issuance-1');
  context.entries = ['provenance-4', 'issuance-2', 'provenance-5'].map((name) =>
    fleet.server(name),
  );
  context.kept = [];
  context.forgotten = [];
  await waitForHomes(fleet.server('provenance-4'));
  const homes = await spreadHomes(fleet.server('provenance-4'));
  context.lost = new Set([...homes.keys()].filter((range) => homes[range] === 'issuance-1'));
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

// A lease that needed the platform would end with it, and issuance would stop for the outage.
test('issuance goes on through an outage longer than the lease', async (context) => {
  const { entries, fleet } = context;
  const everywhere = [...fleet.servers.values()];
  remember(context, await issueAll(everywhere));
  const before = [...context.kept, ...context.forgotten];
  await injectPlatformFault(fleet, { active: true, kind: 'down' });
  const outagePartEndsAt = performance.now() + outagePartMilliseconds;
  while (performance.now() < outagePartEndsAt) {
    remember(context, await issueAll(everywhere));
    await sleep(leaseMilliseconds);
  }
  assert.is(await gaugeOf(fleet.server('issuance-2'), 'platform_reachable'), 0);
  await assertRecorded(entries, before);
  await assertRecorded([fleet.server('issuance-3')], context.forgotten);
  const counts = await assertRanAtMostOnce(fleet);
  for (const { key } of [...context.kept, ...context.forgotten]) assert.is(counts.get(key), 1);
});

// Without the platform nobody may take a range over: another home could not know what ran.
test('the keys of a home that is killed meanwhile are unknown and do not run again', async (context) => {
  const { entries, fleet, forgotten, kept, lost, victim } = context;
  const running = [...lost].map((range) => newKeyOf(range));
  const turn = (index: number): FleetServer => entries[index % entries.length] ?? victim;
  const told = running.map((key, index) => issue(turn(index), key, '?ms=3000'));
  await waitFor('the victim runs requests', async () => (await inFlightOf(victim)) > 0);
  victim.node.kill('SIGKILL');
  for (const { isWhole, outcome, reason } of await Promise.all(told)) {
    assert.ok(isWhole && ['answered', 'outcome-unknown'].includes(outcome), `${outcome} ${reason}`);
  }
  const ranBefore = await executionsByKey(fleet);
  const outagePartEndsAt = performance.now() + outagePartMilliseconds;
  for (let round = 0; performance.now() < outagePartEndsAt; round += 1) {
    for (const range of lost) {
      const key = newKeyOf(range);
      const known = running.concat(forgotten.map((issued) => issued.key));
      const resent = known[round % known.length] ?? key;
      for (const asked of [key, resent]) {
        const { attempt, outcome, reason } = await issue(turn(round), asked);
        assert.is(outcome, 'outcome-unknown', reason);
        assert.is(attempt, 'not-started', reason);
      }
      // Whether the key of this attempt ran stays unknown for its caller, but it did not.
      assert.is((await executionsByKey(fleet)).get(key), undefined);
    }
  }
  const ranSince = await assertRanAtMostOnce(fleet);
  for (const key of running) assert.is(ranSince.get(key), ranBefore.get(key));
  await assertRecorded([turn(0)], kept.slice(-ranges));
});

// The takeover must neither wait for ever nor run again what the killed home had run.
test('once the platform is back the ranges are taken over and nothing runs twice', async (context) => {
  const { entries, fleet, forgotten, kept } = context;
  await injectPlatformFault(fleet, { active: false, kind: 'down' });
  for (const entry of entries) await waitForHomes(entry);
  for (const { key } of forgotten) {
    const { outcome, reason } = await resendUntilFinal(entries, key);
    assert.is(`${outcome} ${reason}`, 'outcome-unknown created-before-takeover');
  }
  await assertRecorded(entries, kept);
  const after = await issueAll(entries);
  assert.equal(countSummaries(after.map(({ result }) => result)), {
    'whole answered 200': after.length,
  });
  const counts = await assertRanAtMostOnce(fleet);
  for (const { key } of [...forgotten, ...kept, ...after]) assert.is(counts.get(key), 1);
});

test.run();
