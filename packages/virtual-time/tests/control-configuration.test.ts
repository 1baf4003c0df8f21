import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfigurationRun } from './control-configuration-setup.js';
import { startNode } from './control-setup.js';

test('an accepted change is in force everywhere within 6 s', () => {
  const run = new ConfigurationRun(32, 4, { seed: 21 });
  const proposal = run.propose('server-9', ['provenance', 'issuance']);
  run.network.run(6_000);
  assert.equal(proposal.result, { kind: 'accepted', revision: 1 });
  run.assertInForceEverywhere();
  run.assertAnswersAreTrue();
});

test('of two operators with the same base one wins and the other is told what changed', () => {
  const run = new ConfigurationRun(8, 2, { seed: 22 });
  const proposals = [run.propose('server-0', ['a', 'b']), run.propose('server-5', ['b', 'c'])];
  run.network.run(6_000);
  const kinds = proposals.map((proposal) => proposal.result?.kind).sort();
  assert.equal(kinds, ['accepted', 'conflict']);
  const loser = proposals.find((proposal) => proposal.result?.kind === 'conflict')?.result;
  const winner = proposals.find((proposal) => proposal.result?.kind === 'accepted');
  const changedServices = winner?.services;
  assert.equal(loser, { kind: 'conflict', revision: 1, changedServices });
  run.assertAnswersAreTrue();
});

test('disjoint changes of the same base both hold, so that operators do not hinder each other', () => {
  const run = new ConfigurationRun(8, 2, { seed: 23 });
  const proposals = ['a', 'b', 'c', 'd'].map((name, index) =>
    run.propose(`server-${index}`, [name]),
  );
  run.network.run(8_000);
  assert.ok(proposals.every((proposal) => proposal.result?.kind === 'accepted'));
  run.assertInForceEverywhere();
  run.assertAnswersAreTrue();
});

test('a change whose every answer is lost is still found to be accepted', () => {
  const run = new ConfigurationRun(8, 2, { seed: 24 });
  run.network.store.faults.lostAnswers = 1;
  const proposal = run.propose('server-3', ['a', 'b']);
  run.network.run(20_000);
  assert.is(proposal.result?.kind, 'accepted');
  run.assertAnswersAreTrue();
  run.assertInForceEverywhere();
});

test('during an outage nodes keep their revision, starting nodes get it from peers, and no change is made', () => {
  const run = new ConfigurationRun(8, 2, { seed: 25 });
  run.propose('server-1', ['a']);
  run.network.run(6_000);
  run.network.store.faults.down = true;
  run.network.store.cutWatches();
  const seeds = [{ server: 'server-0', address: '10.0.0.1:server-0' }];
  run.network.start('late', 'regina-hall', 'prairie-west', seeds);
  const refused = run.propose('server-2', ['b']);
  run.network.run(15_000);
  assert.is(run.network.nodes.get('late')?.keeper.inForce.revision, 1);
  assert.is(refused.result?.kind, 'rejected');
  run.network.store.faults.down = false;
  run.network.run(5_000);
  const later = run.propose('server-2', ['c']);
  run.network.run(6_000);
  assert.is(later.result?.kind, 'accepted');
  run.assertInForceEverywhere();
  run.assertAnswersAreTrue();
});

test('a change identifier that is sent again is not made twice', () => {
  const run = new ConfigurationRun(4, 1, { seed: 26 });
  const node = run.network.nodes.get('server-0');
  const first = run.propose('server-0', ['a']);
  run.network.run(3_000);
  assert.is(first.result?.kind, 'accepted');
  const configuration = run.network.nodes.get('server-1')?.keeper.inForce;
  assert.ok(node !== undefined && configuration !== undefined);
  first.result = undefined;
  const again = { kind: 'propose-configuration', proposalId: 0, changeId: 'change-0' } as const;
  node.propose({ ...again, baseRevision: 0, configuration }, run.network.now);
  run.network.run(3_000);
  assert.equal(first.result, { kind: 'accepted', revision: 1 });
});

test('a node that restarts gets the configuration from its peers', () => {
  const run = new ConfigurationRun(9, 3, { seed: 27 });
  for (const name of ['a', 'b', 'c']) {
    run.propose('server-4', [name]);
    run.network.run(3_000);
  }
  const { reads } = run.network.store.calls;
  for (const index of [3, 7]) startNode(run.network, index, 3);
  run.network.run(10_000);
  run.assertInForceEverywhere();
  assert.ok(run.network.store.calls.reads - reads < 40);
});

test.run();
