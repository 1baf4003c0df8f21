import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, summaryOf } from './shared/caller.js';
import {
  readCounter,
  readGauge,
  readInFlight,
  createPlan,
  queryRows,
  startTestFleet,
  waitForMembers,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const serverCount = 4;
const test = suite<Context>('crash');

test.before(async (context) => {
  const provenance = [1, 2, 3].map((number) => createPlan('provenance', number));
  context.fleet = await startTestFleet({ plans: [...provenance, createPlan('issuance', 4)] });
  context.entry = context.fleet.server('issuance-4');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

// Lookups are idempotent and can be retried, so a killed node may only delay callers.
test('lookups on a killed node are answered through another node', async ({ entry, fleet }) => {
  const killedServer = fleet.server('provenance-1');
  const pending = Array.from({ length: 15 }, () => call(entry, '/provenance/x?ms=2000'));
  await waitFor(
    'the server to be killed runs lookups',
    async () => (await readInFlight(killedServer)) > 0,
  );
  killedServer.node.kill('SIGKILL');
  const results = await Promise.all(pending);
  assert.equal(countSummaries(results), { 'complete answered 200': pending.length });
  assert.ok((await readCounter(entry, 'retries', { reason: 'attempt-failed' })) > 0);
});

// Until the other nodes have detected that the node is dead, requests to it must be retried
// elsewhere.
test('lookups are still answered while the node is down', async ({ entry }) => {
  for (let number = 0; number < 20; number += 1) {
    assert.is(summaryOf(await call(entry, '/provenance/x')), 'complete answered 200');
  }
});

// A restarted node is a new member; the record of its previous incarnation must not keep it out.
test('a node restarted under the same address joins and serves again', async ({ entry, fleet }) => {
  await fleet.restartServer('provenance-1');
  const restarted = fleet.server('provenance-1');
  await waitForMembers(fleet, serverCount);
  await waitFor('the restarted node has the configuration', async () => {
    return (await readGauge(restarted, 'configuration_revision')) === 1;
  });
  await waitFor('the upstream of the restarted node receives requests', async () => {
    const result = await call(entry, '/provenance/x?ms=200');
    assert.is(summaryOf(result), 'complete answered 200');
    const [row] = await queryRows(entry, 'show members where server = provenance-1');
    return row?.state === 'serving' && (await readExecutionCount(restarted)) > 0;
  });
  assert.is(summaryOf(await call(restarted, '/issuance/x')), 'complete answered 200');
});

async function readExecutionCount(server: FleetServer): Promise<number> {
  const response = await fetch(`http://${server.control}/control/state`);
  return ((await response.json()) as { readonly executions: number }).executions;
}

test.run();
