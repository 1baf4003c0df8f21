import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, newKey } from './shared/caller.js';
import {
  executionsByKey,
  sendKeyedRequest,
  resendUntilFinal,
  waitForHomes,
} from './shared/keyed-calls.js';
import { readInFlight, createPlan, startTestFleet } from './shared/test-fleet.js';
import { TcpForwarder } from './shared/tcp-forwarder.js';
import { waitFor } from './shared/wait-for.js';

const linkedServerName = 'issuance-1';

interface Context {
  fleet: ProcessFleet;
  forwarder: TcpForwarder;
  entry: FleetServer;
  linkedServer: FleetServer;
}

const test = suite<Context>('cut link');

test.before(async (context) => {
  const forwarder = new TcpForwarder();
  context.forwarder = forwarder;
  const forwarderPort = await forwarder.listen();
  context.fleet = await startTestFleet({
    nodeFlagsOf: (server, peerPort) => {
      if (server !== linkedServerName) return [];
      forwarder.targetPort = peerPort;
      return ['--peer-advertised-address', `127.0.0.1:${forwarderPort}`];
    },
    plans: [
      ...[1, 2, 3].map((number) => createPlan('issuance', number)),
      createPlan('provenance', 4),
    ],
  });
  context.entry = context.fleet.server('provenance-4');
  context.linkedServer = context.fleet.server(linkedServerName);
  await waitForHomes(context.entry);
});

test.after(async ({ fleet, forwarder }) => {
  await fleet.close();
  await forwarder.close();
});

// A connection that is lost during a request doesn't show whether the request ran.
test('requests in progress on a link that is cut are answered or unknown, and run once', async ({
  entry,
  fleet,
  forwarder,
  linkedServer,
}) => {
  const lookups = Array.from({ length: 9 }, () => call(entry, '/issuance/status?ms=800'));
  const keys = Array.from({ length: 12 }, () => newKey());
  const pendingRequests = keys.map((key) => sendKeyedRequest(entry, key, '?ms=800'));
  await waitFor(
    'the linked server runs requests',
    async () => (await readInFlight(linkedServer)) > 0,
  );
  forwarder.cut();
  assert.equal(Object.keys(countSummaries(await Promise.all(lookups))), ['complete answered 200']);
  for (const { isComplete, outcome } of await Promise.all(pendingRequests)) {
    assert.ok(isComplete && ['answered', 'outcome-unknown'].includes(outcome), outcome);
  }
  forwarder.restore();
  const finalResults = await Promise.all(
    keys.map((key) => resendUntilFinal([entry, linkedServer], key, '?ms=800')),
  );
  assert.is(finalResults.length, keys.length);
  for (const [key, executionCount] of await executionsByKey(fleet)) {
    assert.is(executionCount, 1, `key ${key} ran ${executionCount} times`);
  }
});

// If nodes stopped dialing for good, a short network fault would exclude the server permanently.
test('the server receives requests again after the link is restored', async ({
  entry,
  linkedServer,
}) => {
  await waitFor('the linked server runs requests again', async () => {
    const pending = Array.from({ length: 6 }, () => call(entry, '/issuance/status?ms=300'));
    await waitFor('the lookups run', async () => (await readInFlight(linkedServer)) > 0).catch(
      () => false,
    );
    const results = await Promise.all(pending);
    return results.every(({ outcome }) => outcome === 'answered');
  });
  await waitForHomes(entry);
});

test.run();
