import { setTimeout as sleep } from 'node:timers/promises';

import { askOperator } from '@peridotspring/stand-ins';
import type { FleetServer, ProcessFleet } from '@peridotspring/stand-ins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { call, countSummaries, summaryOf } from './shared/caller.js';
import { SteadyLoad } from './shared/steady-load.js';
import {
  readGauge,
  setPlatformFault,
  createPlan,
  queryRows,
  startTestFleet,
  waitForMembers,
} from './shared/test-fleet.js';
import { waitFor } from './shared/wait-for.js';

/** Longer than every lease, suspicion timeout and reconnect delay of a node. */
const outageMilliseconds = 8_000;

interface ChangeReply {
  readonly status: string;
  readonly revision?: number;
  readonly baseRevision: number;
  readonly changeId: string;
  readonly notes: readonly string[];
}

interface Context {
  fleet: ProcessFleet;
  nodes: readonly FleetServer[];
  firstNode: FleetServer;
  secondNode: FleetServer;
}

const test = suite<Context>('platform outage and configuration');

test.before(async (context) => {
  const plans = [1, 2, 3].map((number) => createPlan('provenance', number));
  context.fleet = await startTestFleet({ plans });
  context.nodes = [...context.fleet.servers.values()];
  context.firstNode = context.fleet.server('provenance-1');
  context.secondNode = context.fleet.server('provenance-2');
});

test.after(async ({ fleet }) => {
  await fleet.close();
});

async function changeConfiguration(node: FleetServer, text: string): Promise<ChangeReply> {
  return (await askOperator(node.operatorPort, text)).body as ChangeReply;
}

async function readServiceDeclaration(node: FleetServer): Promise<string> {
  const [row] = await queryRows(node, 'show configuration where object = service');
  return typeof row?.declaration === 'string' ? row.declaration : '';
}

// If two changes on the same base revision were both accepted, each operator would believe that
// their value is in force.
test('of two concurrent changes one is accepted and the other reports a conflict', async ({
  firstNode,
  fleet,
  nodes,
  secondNode,
}) => {
  await setPlatformFault(fleet, { kind: 'slow', milliseconds: 150, when: 'before-effect' });
  let conflicts = 0;
  for (let round = 1; round <= 4; round += 1) {
    const values = [`${round}001ms`, `${round}002ms`];
    const texts = values.map((value) => `change service provenance deadline default ${value}`);
    const [firstText = '', secondText = ''] = texts;
    const results = await Promise.all([
      changeConfiguration(firstNode, firstText),
      changeConfiguration(secondNode, secondText),
    ]);
    const accepted = results.filter(({ status }) => status === 'accepted');
    const refused = results.filter(({ status }) => status === 'conflict');
    assert.is(accepted.length + refused.length, 2, JSON.stringify(results));
    assert.ok(accepted.length >= 1, JSON.stringify(results));
    conflicts += refused.length;
    // Both may be accepted only one after the other, the second one based on the revision of the
    // first.
    assert.is(new Set(accepted.map(({ revision }) => revision)).size, accepted.length);
    assert.is(new Set(accepted.map(({ baseRevision }) => baseRevision)).size, accepted.length);
    for (const { notes } of refused) assert.match(notes.join(), /provenance/);
    const winner = accepted.reduce((a, b) => ((a.revision ?? 0) > (b.revision ?? 0) ? a : b));
    const value = values[results.indexOf(winner)] ?? '';
    for (const node of nodes) {
      await waitFor('the winning value is in force', async () =>
        (await readServiceDeclaration(node)).includes(`deadline default ${value}`),
      );
    }
  }
  await setPlatformFault(fleet, { kind: 'slow', milliseconds: 0 });
  assert.ok(conflicts > 0, 'the changes never conflicted');
});

// If the store's answer to a change is lost, the change must neither be reported as failed nor be
// applied twice.
for (const lostAnswers of [1, 2, 3]) {
  test(`a change is applied once despite ${lostAnswers} lost answers of the store`, async ({
    firstNode,
    fleet,
    nodes,
    secondNode,
  }) => {
    const before = await readGauge(firstNode, 'configuration_revision');
    await setPlatformFault(fleet, { kind: 'lose-answers', transactions: lostAnswers });
    const value = `${lostAnswers}s`;
    const result = await changeConfiguration(
      firstNode,
      `change service provenance ramp ${value} wait up to 20s`,
    );
    assert.is(result.status, 'accepted', JSON.stringify(result));
    assert.is(result.revision, before + 1);
    const [row] = await queryRows(secondNode, `show change ${result.changeId}`);
    assert.is(row?.state, 'in-force');
    for (const node of nodes) {
      await waitFor('the revision is in force', async () => {
        return (await readGauge(node, 'configuration_revision')) === before + 1;
      });
      assert.match(await readServiceDeclaration(node), new RegExp(`ramp ${value}`));
    }
  });
}

// If nodes needed the store for each request, they would stop answering during its outage.
test('lookups continue during an outage, and a node started meanwhile joins after it', async ({
  firstNode,
  fleet,
  nodes,
}) => {
  await setPlatformFault(fleet, { active: true, kind: 'down' });
  const outageEndsAt = performance.now() + outageMilliseconds;
  const load = new SteadyLoad(6, (caller) => {
    return call(nodes[caller % nodes.length] ?? firstNode, '/provenance/x?ms=5');
  });
  await fleet.startServers([createPlan('provenance', 4)]);
  const newNode = fleet.server('provenance-4');
  const changeReply = await changeConfiguration(firstNode, 'change service provenance ramp 9s');
  // `rejected` means that nothing was written, which is checked below.
  assert.ok(['rejected', 'unresolved'].includes(changeReply.status), JSON.stringify(changeReply));
  const resultDuringOutage = await call(newNode, '/provenance/x', { deadlineMilliseconds: 1_000 });
  assert.is(resultDuringOutage.outcome, 'refused-not-run', summaryOf(resultDuringOutage));
  await sleep(Math.max(0, outageEndsAt - performance.now()));
  assert.is(await readGauge(firstNode, 'platform_reachable'), 0);
  await setPlatformFault(fleet, { active: false, kind: 'down' });
  await waitForMembers(fleet, nodes.length + 1);
  await waitFor('the new node answers requests', async () => {
    return (await call(newNode, '/provenance/x')).outcome === 'answered';
  });
  const results = await load.stop();
  assert.equal(Object.keys(countSummaries(results)), ['complete answered 200']);
  await waitFor('the state of the change is known', async () => {
    const [row] = await queryRows(firstNode, `show change ${changeReply.changeId}`);
    return ['in-force', 'not-found', 'rejected'].includes(String(row?.state));
  });
  if (changeReply.status === 'rejected') {
    for (const node of nodes) assert.not.match(await readServiceDeclaration(node), /ramp 9s/);
  }
});

test.run();
