import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, newKey } from './shared/caller.js';
import { executionsByKey, sendKeyedRequest, waitForHomes } from './shared/keyed-calls.js';
import { SteadyLoad } from './shared/steady-load.js';
import {
  readAllExecutions,
  readCounter,
  readInFlight,
  createPlan,
  startTestFleet,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const test = suite<Context>('graceful shutdown');

test.before(async (context) => {
  const issuance = [1, 2, 3].map((number) => createPlan('issuance', number));
  context.fleet = await startTestFleet({ plans: [...issuance, createPlan('provenance', 4)] });
  context.entry = context.fleet.server('provenance-4');
  await waitForHomes(context.entry);
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function stopServer(server: FleetServer): Promise<void> {
  server.upstream.kill('SIGTERM');
  server.node.kill('SIGTERM');
  assert.is(await server.node.exit(), 0);
  assert.is(await server.upstream.exit(), 0);
}

// The nightly scale-down must not affect any caller, whatever its request is (I6).
test('a graceful shutdown under load truncates no response and leaves no outcome unknown', async (context) => {
  const { entry, fleet } = context;
  const stoppingServer = fleet.server('issuance-1');
  const remainingServers = [entry, fleet.server('issuance-2'), fleet.server('issuance-3')];
  const serverOf = (caller: number): FleetServer =>
    remainingServers[caller % remainingServers.length] ?? entry;
  const keyedLoad = new SteadyLoad(6, (caller) =>
    sendKeyedRequest(serverOf(caller), newKey(), '?ms=40'),
  );
  const lookupLoad = new SteadyLoad(6, (caller) =>
    call(serverOf(caller), '/issuance/status?ms=40'),
  );
  await waitFor(
    'the load is running',
    () => keyedLoad.results.length > 50 && lookupLoad.results.length > 50,
  );
  const slowCalls = [
    ...Array.from({ length: 3 }, () => sendKeyedRequest(stoppingServer, newKey(), '?ms=1500')),
    ...Array.from({ length: 3 }, () => call(stoppingServer, '/issuance/status?ms=1500')),
  ];
  // A node refuses requests that arrive after its stop has begun, so all must be running before it.
  await waitFor('the requests through the stopping node run', async () => {
    const executions = await readAllExecutions(fleet);
    return executions.filter(({ path }) => path.endsWith('?ms=1500')).length === slowCalls.length;
  });
  await waitFor(
    'the stopping server runs requests',
    async () => (await readInFlight(stoppingServer)) > 0,
  );
  await stopServer(stoppingServer);
  const resultCount = keyedLoad.results.length;
  await waitFor('the load continues', () => keyedLoad.results.length > resultCount + 50);
  const results = [
    ...(await keyedLoad.stop()),
    ...(await lookupLoad.stop()),
    ...(await Promise.all(slowCalls)),
  ];
  assert.equal(countSummaries(results), { 'complete answered 200': results.length });
  for (const [key, executionCount] of await executionsByKey(removeStopped(fleet, stoppingServer))) {
    assert.is(executionCount, 1, `key ${key} ran ${executionCount} times`);
  }
  assert.is(await readCounter(entry, 'unknown_outcomes'), 0);
});

/** Removes a stopped server, since its upstream can no longer be asked for its execution log. */
function removeStopped(fleet: ProcessFleet, stopped: FleetServer): ProcessFleet {
  fleet.servers.delete(stopped.plan.server);
  return fleet;
}

// The new home of a key range must know the keys that were recorded on the server that left.
test('answers recorded before a graceful shutdown are kept after it', async ({ entry, fleet }) => {
  const keys = Array.from({ length: 24 }, () => newKey());
  const before = await Promise.all(keys.map((key) => sendKeyedRequest(entry, key)));
  assert.equal(countSummaries(before), { 'complete answered 200': keys.length });
  const stoppingServer = fleet.server('issuance-2');
  await stopServer(stoppingServer);
  removeStopped(fleet, stoppingServer);
  const after = await Promise.all(keys.map((key) => sendKeyedRequest(entry, key)));
  assert.equal(countSummaries(after), { 'complete answered 200': keys.length });
  for (const [index, { body, headers }] of after.entries()) {
    assert.ok(body.equals(before[index]?.body ?? Buffer.alloc(0)));
    assert.is(headers['stand-in-execution'], before[index]?.headers['stand-in-execution']);
  }
});

test.run();
