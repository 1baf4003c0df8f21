import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, newKey, summaryOf } from './shared/caller.js';
import { executionsByKey, sendKeyedRequest, waitForHomes } from './shared/keyed-calls.js';
import { createPlan, queryRows, startTestFleet } from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

interface Context {
  fleet: ProcessFleet;
  entry: FleetServer;
}

const lostWitnesses = ['provenance-3', 'provenance-4', 'provenance-5'];
const test = suite<Context>('lost witnesses');

test.before(async (context) => {
  context.fleet = await startTestFleet({
    nodeFlags: ['--lease-milliseconds', '1000'],
    plans: [
      createPlan('issuance', 1),
      createPlan('issuance', 2),
      ...[3, 4, 5].map((number) => createPlan('provenance', number)),
    ],
  });
  context.entry = context.fleet.server('issuance-1');
  await waitForHomes(context.entry);
  await waitFor('the service has five witnesses', async () => {
    const rows = await queryRows(context.entry, 'show homes where service = issuance');
    return rows.every(({ witnesses }) => String(witnesses).split(' ').length === 5);
  });
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

// Without a majority no node knows what the lost witnesses have promised, so no request with a new
// key may run.
test('homes without a majority of witnesses accept no keys and list the silent witnesses', async ({
  entry,
  fleet,
}) => {
  for (const name of lostWitnesses) fleet.server(name).node.kill('SIGKILL');
  await waitFor('no home accepts keys', async () => {
    const rows = await queryRows(entry, 'show homes where service = issuance');
    const silent = rows.map((row) => String(row.silent_witnesses).split(' ').sort().join(' '));
    return (
      rows.length > 0 &&
      rows.every(({ accepting }) => accepting === 0) &&
      silent.every((names) => names === lostWitnesses.join(' '))
    );
  });
  const key = newKey();
  assert.is(summaryOf(await sendKeyedRequest(entry, key)), 'complete outcome-unknown no-lease 502');
  assert.is((await executionsByKey(fleet)).get(key), undefined);
  assert.is(summaryOf(await call(entry, '/issuance/status')), 'complete answered 200');
});

// This is the recovery procedure of the operator documentation.
test('homes accept keys again once a node with the name of a lost witness has started', async ({
  entry,
  fleet,
}) => {
  await fleet.restartServer('provenance-3');
  await waitForHomes(entry);
  await waitFor('the other lost witnesses are replaced', async () => {
    const rows = await queryRows(entry, 'show homes where service = issuance');
    return rows.length > 0 && rows.every(({ silent_witnesses: silent }) => silent === '');
  });
  for (const [key, count] of await executionsByKey(fleet)) assert.is(count, 1, key);
});

test.run();
