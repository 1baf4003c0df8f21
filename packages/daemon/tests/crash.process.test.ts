import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, summaryOf } from './shared/caller.js';
import {
  counterOf,
  gaugeOf,
  inFlightOf,
  planOf,
  rowsOf,
  startTestFleet,
  waitForMembers,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const servers = 4;
const test = suite<Context>('crash');

test.before(async (context) => {
  const provenance = [1, 2, 3].map((number) => planOf('provenance', number));
  context.fleet = await startTestFleet({ plans: [...provenance, planOf('issuance', 4)] });
  context.entry = context.fleet.server('issuance-4');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

// Lookups may be repeated, so the death of a node must cost callers time only.
test('lookups on a node that is killed are answered through another', async ({ entry, fleet }) => {
  const victim = fleet.server('provenance-1');
  const pending = Array.from({ length: 15 }, () => call(entry, '/provenance/x?ms=2000'));
  await waitFor('the victim runs lookups', async () => (await inFlightOf(victim)) > 0);
  victim.node.kill('SIGKILL');
  const results = await Promise.all(pending);
  assert.equal(countSummaries(results), { 'whole answered 200': pending.length });
  assert.ok((await counterOf(entry, 'retries', { reason: 'attempt-failed' })) > 0);
});

// While the others still believe the node alive, what is sent to it must go elsewhere.
test('lookups go on while the node is away', async ({ entry }) => {
  for (let number = 0; number < 20; number += 1) {
    assert.is(summaryOf(await call(entry, '/provenance/x')), 'whole answered 200');
  }
});

// A node that comes back under its address is a new member; its old record must not keep it out.
test('a node restarted under the same address joins and serves again', async ({ entry, fleet }) => {
  await fleet.restartServer('provenance-1');
  const restarted = fleet.server('provenance-1');
  await waitForMembers(fleet, servers);
  await waitFor('the restarted node has the configuration', async () => {
    return (await gaugeOf(restarted, 'configuration_revision')) === 1;
  });
  await waitFor('the upstream of the restarted node gets work', async () => {
    const result = await call(entry, '/provenance/x?ms=200');
    assert.is(summaryOf(result), 'whole answered 200');
    const [row] = await rowsOf(entry, 'show members where server = provenance-1');
    return row?.state === 'serving' && (await executionCount(restarted)) > 0;
  });
  assert.is(summaryOf(await call(restarted, '/issuance/x')), 'whole answered 200');
});

async function executionCount(server: FleetServer): Promise<number> {
  const response = await fetch(`http://${server.control}/control/state`);
  return ((await response.json()) as { readonly executions: number }).executions;
}

test.run();
