import { setTimeout as sleep } from 'node:timers/promises';

import { askOperator } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, summaryOf } from './shared/caller.js';
import { SteadyLoad } from './shared/steady-load.js';
import {
  gaugeOf,
  injectPlatformFault,
  planOf,
  rowsOf,
  startTestFleet,
  waitForMembers,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** Longer than every lease, suspicion and reconnect of a node. */
const outageMilliseconds = 8_000;

interface ChangeBody {
  readonly status: string;
  readonly revision?: number;
  readonly baseRevision: number;
  readonly changeId: string;
  readonly notes: readonly string[];
}

interface Context {
  fleet: ProcessFleet;
  nodes: readonly FleetServer[];
  first: FleetServer;
  second: FleetServer;
}

const test = suite<Context>('platform outage and configuration');

test.before(async (context) => {
  const plans = [1, 2, 3].map((number) => planOf('provenance', number));
  context.fleet = await startTestFleet({ plans });
  context.nodes = [...context.fleet.servers.values()];
  context.first = context.fleet.server('provenance-1');
  context.second = context.fleet.server('provenance-2');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function change(node: FleetServer, text: string): Promise<ChangeBody> {
  return (await askOperator(node.operatorPort, text)).body as ChangeBody;
}

async function declarationAt(node: FleetServer): Promise<string> {
  const [row] = await rowsOf(node, 'show configuration where object = service');
  return typeof row?.declaration === 'string' ? row.declaration : '';
}

// Two operators who are both told "accepted" for one base would each believe their own value in force.
test('of two racing changes one wins and the other is told the conflict', async ({
  first,
  fleet,
  nodes,
  second,
}) => {
  await injectPlatformFault(fleet, { kind: 'slow', milliseconds: 150, when: 'before-effect' });
  let conflicts = 0;
  for (let round = 1; round <= 4; round += 1) {
    const values = [`${round}001ms`, `${round}002ms`];
    const texts = values.map((value) => `change service provenance deadline default ${value}`);
    const [own = '', other = ''] = texts;
    const results = await Promise.all([change(first, own), change(second, other)]);
    const accepted = results.filter(({ status }) => status === 'accepted');
    const refused = results.filter(({ status }) => status === 'conflict');
    assert.is(accepted.length + refused.length, 2, JSON.stringify(results));
    assert.ok(accepted.length >= 1, JSON.stringify(results));
    conflicts += refused.length;
    // Both may win only one after the other, each on the other's revision.
    assert.is(new Set(accepted.map(({ revision }) => revision)).size, accepted.length);
    assert.is(new Set(accepted.map(({ baseRevision }) => baseRevision)).size, accepted.length);
    for (const { notes } of refused) assert.match(notes.join(), /provenance/);
    const winner = accepted.reduce((a, b) => ((a.revision ?? 0) > (b.revision ?? 0) ? a : b));
    const value = values[results.indexOf(winner)] ?? '';
    for (const node of nodes) {
      await waitFor('the winning value is in force', async () =>
        (await declarationAt(node)).includes(`deadline default ${value}`),
      );
    }
  }
  await injectPlatformFault(fleet, { kind: 'slow', milliseconds: 0 });
  assert.ok(conflicts > 0, 'the changes never met');
});

// A change whose answer was lost must neither be reported as failed nor be made twice.
for (const lost of [1, 2, 3]) {
  test(`a change survives ${lost} lost answers of the store and is made once`, async ({
    first,
    fleet,
    nodes,
    second,
  }) => {
    const before = await gaugeOf(first, 'configuration_revision');
    await injectPlatformFault(fleet, { kind: 'lose-answers', transactions: lost });
    const value = `${lost}s`;
    const result = await change(first, `change service provenance ramp ${value} wait up to 20s`);
    assert.is(result.status, 'accepted', JSON.stringify(result));
    assert.is(result.revision, before + 1);
    const [row] = await rowsOf(second, `show change ${result.changeId}`);
    assert.is(row?.state, 'in-force');
    for (const node of nodes) {
      await waitFor('the revision is in force', async () => {
        return (await gaugeOf(node, 'configuration_revision')) === before + 1;
      });
      assert.match(await declarationAt(node), new RegExp(`ramp ${value}`));
    }
  });
}

// Nodes that need the store per request would stop with it.
test('lookups go on through an outage, and a node that starts meanwhile joins after it', async ({
  first,
  fleet,
  nodes,
}) => {
  await injectPlatformFault(fleet, { active: true, kind: 'down' });
  const outageEndsAt = performance.now() + outageMilliseconds;
  const load = new SteadyLoad(6, (caller) => {
    return call(nodes[caller % nodes.length] ?? first, '/provenance/x?ms=5');
  });
  await fleet.startServers([planOf('provenance', 4)]);
  const started = fleet.server('provenance-4');
  const changed = await change(first, 'change service provenance ramp 9s');
  // `rejected` says that nothing was written, which is checked below.
  assert.ok(['rejected', 'unresolved'].includes(changed.status), JSON.stringify(changed));
  const away = await call(started, '/provenance/x', { deadlineMilliseconds: 1_000 });
  assert.is(away.outcome, 'refused-not-run', summaryOf(away));
  await sleep(Math.max(0, outageEndsAt - performance.now()));
  assert.is(await gaugeOf(first, 'platform_reachable'), 0);
  await injectPlatformFault(fleet, { active: false, kind: 'down' });
  await waitForMembers(fleet, nodes.length + 1);
  await waitFor('the new node answers', async () => {
    return (await call(started, '/provenance/x')).outcome === 'answered';
  });
  const results = await load.stop();
  assert.equal(Object.keys(countSummaries(results)), ['whole answered 200']);
  await waitFor('the platform tells what became of the change', async () => {
    const [row] = await rowsOf(first, `show change ${changed.changeId}`);
    return ['in-force', 'not-found', 'rejected'].includes(String(row?.state));
  });
  if (changed.status === 'rejected') {
    for (const node of nodes) assert.not.match(await declarationAt(node), /ramp 9s/);
  }
});

test.run();
