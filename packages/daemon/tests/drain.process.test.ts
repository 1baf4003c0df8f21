import { setTimeout as sleep } from 'node:timers/promises';

import { askOperator } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries } from './shared/caller.js';
import { SteadyLoad } from './shared/steady-load.js';
import { counterOf, executionsOf, planOf, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** New work ends this long after the change was accepted (I5). */
const drainLimitMilliseconds = 2_000;
const observedMilliseconds = 3_000;
const onlyAnswered = ['whole answered 200'];

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const test = suite<Context>('drain');

test.before(async (context) => {
  const provenance = [1, 2, 3, 4].map((number) => planOf('provenance', number));
  context.fleet = await startTestFleet({ plans: [...provenance, planOf('issuance', 5)] });
  context.entry = context.fleet.server('issuance-5');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function latestStart(server: FleetServer): Promise<number> {
  return Math.max(0, ...(await executionsOf(server)).map(({ startedAt }) => startedAt));
}

/** Drains what `object` names under load and checks that the servers get no work any more. */
async function checkDrain(
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
      const before = (await executionsOf(server)).length;
      await waitFor('the server gets work', async () => {
        return (await executionsOf(server)).length > before + 5;
      });
    }
    const { body, status } = await askOperator(entry.operatorPort, `drain ${object}`);
    const acceptedAt = Date.now();
    assert.is(status, 200, JSON.stringify(body));
    await sleep(drainLimitMilliseconds + observedMilliseconds);
    for (const server of drained) {
      const lateBy = (await latestStart(server)) - acceptedAt;
      assert.ok(lateBy <= drainLimitMilliseconds, `work started ${lateBy} ms after the drain`);
    }
  } finally {
    await load.stop();
  }
  assert.equal(Object.keys(countSummaries(load.results)), onlyAnswered);
  assert.is((await askOperator(entry.operatorPort, `restore ${object}`)).status, 200);
}

// A router that acts on an old load report must not keep a leaving server busy.
test('a drained server gets no new work, and no caller notices', async (context) => {
  await checkDrain(context, 'server provenance-1', [context.fleet.server('provenance-1')]);
});

// A zone's drain is one fact in the configuration; each of its gates has to apply it.
test('a drained zone gets no new work, and no caller notices', async (context) => {
  const { fleet } = context;
  const drained = ['provenance-1', 'provenance-4'].map((name) => fleet.server(name));
  await checkDrain(context, 'zone saskatoon-hall', drained);
});

// Operators look for the reason of a refusal in the counters.
test('a service whose servers all drain refuses, and the reasons are counted', async ({
  entry,
  fleet,
}) => {
  const result = await askOperator(entry.operatorPort, 'drain server issuance-5');
  assert.is(result.status, 200);
  let refused = await call(fleet.server('provenance-1'), '/issuance/x');
  await waitFor('the service refuses', async () => {
    refused = await call(fleet.server('provenance-1'), '/issuance/x');
    return refused.outcome === 'refused-not-run';
  });
  assert.ok(['draining', 'no-upstream'].includes(refused.reason), refused.reason);
  assert.is(refused.status, 503);
  assert.ok(refused.headers['retry-after'] !== undefined);
  const counted = await counterOf(fleet.server('provenance-1'), 'refusals', {
    reason: refused.reason,
  });
  assert.ok(counted > 0);
});

test.run();
