import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, newKey } from './shared/caller.js';
import { executionsByKey, issue, waitForHomes } from './shared/keyed-calls.js';
import { SteadyLoad } from './shared/steady-load.js';
import {
  allExecutions,
  counterOf,
  inFlightOf,
  planOf,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const test = suite<Context>('planned stop');

test.before(async (context) => {
  const issuance = [1, 2, 3].map((number) => planOf('issuance', number));
  context.fleet = await startTestFleet({ plans: [...issuance, planOf('provenance', 4)] });
  context.entry = context.fleet.server('provenance-4');
  await waitForHomes(context.entry);
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function stop(server: FleetServer): Promise<void> {
  server.upstream.kill('SIGTERM');
  server.node.kill('SIGTERM');
  assert.is(await server.node.exit(), 0);
  assert.is(await server.upstream.exit(), 0);
}

// The night scale-down must cost no caller anything, whatever its request is (I6).
test('a planned stop under load cuts nothing off and leaves nothing unknown', async (context) => {
  const { entry, fleet } = context;
  const leaving = fleet.server('issuance-1');
  const staying = [entry, fleet.server('issuance-2'), fleet.server('issuance-3')];
  const at = (caller: number): FleetServer => staying[caller % staying.length] ?? entry;
  const keyed = new SteadyLoad(6, (caller) => issue(at(caller), newKey(), '?ms=40'));
  const lookups = new SteadyLoad(6, (caller) => call(at(caller), '/issuance/status?ms=40'));
  await waitFor('the load runs', () => keyed.results.length > 50 && lookups.results.length > 50);
  const own = [
    ...Array.from({ length: 3 }, () => issue(leaving, newKey(), '?ms=1500')),
    ...Array.from({ length: 3 }, () => call(leaving, '/issuance/status?ms=1500')),
  ];
  // A request that reaches a node after its stop began is refused, so all have to run before it.
  await waitFor('the requests of the leaving node run', async () => {
    const executions = await allExecutions(fleet);
    return executions.filter(({ path }) => path.endsWith('?ms=1500')).length === own.length;
  });
  await waitFor('the leaving server works', async () => (await inFlightOf(leaving)) > 0);
  await stop(leaving);
  const count = keyed.results.length;
  await waitFor('the load runs on', () => keyed.results.length > count + 50);
  const results = [...(await keyed.stop()), ...(await lookups.stop()), ...(await Promise.all(own))];
  assert.equal(countSummaries(results), { 'whole answered 200': results.length });
  for (const [key, runs] of await executionsByKey(fleetWithout(fleet, leaving))) {
    assert.is(runs, 1, `key ${key} ran ${runs} times`);
  }
  assert.is(await counterOf(entry, 'unknown_outcomes'), 0);
});

/** The upstream that stopped can't be asked for its log any more. */
function fleetWithout(fleet: ProcessFleet, stopped: FleetServer): ProcessFleet {
  fleet.servers.delete(stopped.plan.server);
  return fleet;
}

// The keys of a server that left must still be known to their new home.
test('answers that were recorded before a stop are kept after it', async ({ entry, fleet }) => {
  const keys = Array.from({ length: 24 }, () => newKey());
  const before = await Promise.all(keys.map((key) => issue(entry, key)));
  assert.equal(countSummaries(before), { 'whole answered 200': keys.length });
  const leaving = fleet.server('issuance-2');
  await stop(leaving);
  fleetWithout(fleet, leaving);
  const after = await Promise.all(keys.map((key) => issue(entry, key)));
  assert.equal(countSummaries(after), { 'whole answered 200': keys.length });
  for (const [index, { body, headers }] of after.entries()) {
    assert.ok(body.equals(before[index]?.body ?? Buffer.alloc(0)));
    assert.is(headers['stand-in-execution'], before[index]?.headers['stand-in-execution']);
  }
});

test.run();
