import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, newKey } from './shared/caller.js';
import { executionsByKey, issue, resendUntilFinal, waitForHomes } from './shared/keyed-calls.js';
import { inFlightOf, planOf, startTestFleet } from './shared/test-fleet.js';
import { TcpForwarder } from './shared/tcp-forwarder.js';
import { waitFor } from './shared/wait-for.js';

const linkedServer = 'issuance-1';

interface Context {
  fleet: ProcessFleet;
  link: TcpForwarder;
  entry: FleetServer;
  linked: FleetServer;
}

const test = suite<Context>('cut link');

test.before(async (context) => {
  const link = new TcpForwarder();
  context.link = link;
  const linkPort = await link.listen();
  context.fleet = await startTestFleet({
    nodeFlagsOf: (server, peerPort) => {
      if (server !== linkedServer) return [];
      link.targetPort = peerPort;
      return ['--peer-advertised-address', `127.0.0.1:${linkPort}`];
    },
    plans: [...[1, 2, 3].map((number) => planOf('issuance', number)), planOf('provenance', 4)],
  });
  context.entry = context.fleet.server('provenance-4');
  context.linked = context.fleet.server(linkedServer);
  await waitForHomes(context.entry);
});

test.after(async ({ fleet, link }) => {
  await fleet.close();
  await link.close();
});

// A connection that breaks under a request says nothing about whether the request ran.
test('requests under way on a link that is cut are answered or unknown, and run once', async ({
  entry,
  fleet,
  link,
  linked,
}) => {
  const lookups = Array.from({ length: 9 }, () => call(entry, '/issuance/status?ms=800'));
  const keys = Array.from({ length: 12 }, () => newKey());
  const issued = keys.map((key) => issue(entry, key, '?ms=800'));
  await waitFor('the linked server works', async () => (await inFlightOf(linked)) > 0);
  link.cut();
  assert.equal(Object.keys(countSummaries(await Promise.all(lookups))), ['whole answered 200']);
  for (const { isWhole, outcome } of await Promise.all(issued)) {
    assert.ok(isWhole && ['answered', 'outcome-unknown'].includes(outcome), outcome);
  }
  link.mend();
  const final = await Promise.all(
    keys.map((key) => resendUntilFinal([entry, linked], key, '?ms=800')),
  );
  assert.is(final.length, keys.length);
  for (const [key, runs] of await executionsByKey(fleet)) {
    assert.is(runs, 1, `key ${key} ran ${runs} times`);
  }
});

// A node that gave up dialling for ever would keep its server out after a short network fault.
test('after the link is mended the server gets work again', async ({ entry, linked }) => {
  await waitFor('the linked server works again', async () => {
    const pending = Array.from({ length: 6 }, () => call(entry, '/issuance/status?ms=300'));
    await waitFor('the lookups run', async () => (await inFlightOf(linked)) > 0).catch(() => false);
    const results = await Promise.all(pending);
    return results.every(({ outcome }) => outcome === 'answered');
  });
  await waitForHomes(entry);
});

test.run();
