import { setTimeout as sleep } from 'node:timers/promises';

import { askOperator } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries } from './shared/caller.js';
import { SteadyLoad } from './shared/steady-load.js';
import { readCounter, readExecutions, createPlan, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** No request may start later than this after the drain was accepted (I5). */
const drainLimitMilliseconds = 2_000;
const observationMilliseconds = 3_000;
const answeredSummaries = ['complete answered 200'];

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const test = suite<Context>('drain');

test.before(async (context) => {
  const provenance = [1, 2, 3, 4].map((number) => createPlan('provenance', number));
  context.fleet = await startTestFleet({ plans: [...provenance, createPlan('issuance', 5)] });
  context.entry = context.fleet.server('issuance-5');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function readLatestStart(server: FleetServer): Promise<number> {
  return Math.max(0, ...(await readExecutions(server)).map(({ startedAt }) => startedAt));
}

/**
 * Drains `object` under load and checks that its servers receive no further requests and all
 * callers are answered.
 */
async function drainUnderLoad(
  { entry, fleet }: Context,
  object: string,
  drained: readonly FleetServer[],
): Promise<void> {
  const entries = [...fleet.servers.values()];
  const load = new SteadyLoad(12, (caller) =>
    call(entries[caller % entries.length] ?? entry, '/provenance/x?ms=10'),
  );
  try {
    for (const server of drained) {
      const before = (await readExecutions(server)).length;
      await waitFor('the server receives requests', async () => {
        return (await readExecutions(server)).length > before + 5;
      });
    }
    const { body, status } = await askOperator(entry.operatorPort, `drain ${object}`);
    const acceptedAt = Date.now();
    assert.is(status, 200, JSON.stringify(body));
    await sleep(drainLimitMilliseconds + observationMilliseconds);
    for (const server of drained) {
      const lateBy = (await readLatestStart(server)) - acceptedAt;
      assert.ok(lateBy <= drainLimitMilliseconds, `a request started ${lateBy} ms after the drain`);
    }
  } finally {
    await load.stop();
  }
  assert.equal(Object.keys(countSummaries(load.results)), answeredSummaries);
  assert.is((await askOperator(entry.operatorPort, `restore ${object}`)).status, 200);
}

// Entries that act on outdated load reports must not keep sending requests to a draining server.
test('a drained server receives no new requests, and every caller is answered', async (context) => {
  await drainUnderLoad(context, 'server provenance-1', [context.fleet.server('provenance-1')]);
});

// The drain of an availability zone is a single entry in the configuration that each gate in the
// zone has to apply.
test('a drained zone receives no new requests, and every caller is answered', async (context) => {
  const { fleet } = context;
  const drained = ['provenance-1', 'provenance-4'].map((name) => fleet.server(name));
  await drainUnderLoad(context, 'zone saskatoon-hall', drained);
});

// Operators use the counters to find the reason for refusals.
test('a service whose servers are all draining refuses requests and counts the reasons', async ({
  entry,
  fleet,
}) => {
  const result = await askOperator(entry.operatorPort, 'drain server issuance-5');
  assert.is(result.status, 200);
  let refused = await call(fleet.server('provenance-1'), '/issuance/x');
  await waitFor('the service refuses requests', async () => {
    refused = await call(fleet.server('provenance-1'), '/issuance/x');
    return refused.outcome === 'refused-not-run';
  });
  assert.ok(['draining', 'no-upstream'].includes(refused.reason), refused.reason);
  assert.is(refused.status, 503);
  assert.ok(refused.headers['retry-after'] !== undefined);
  const counted = await readCounter(fleet.server('provenance-1'), 'refusals', {
    reason: refused.reason,
  });
  assert.ok(counted > 0);
});

test.run();
