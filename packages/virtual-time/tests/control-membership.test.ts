import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  assertMembersAgree,
  countViews,
  findMemberFaults,
  serverName,
  startNetwork,
  startNode,
} from './control-setup.js';

test('nodes of several zones find each other through the store, so that no list is needed', () => {
  const network = startNetwork(24, 4, { seed: 1 });
  assertMembersAgree(network);
  const bridges = network.running.filter((node) => node.membership.isBridge);
  assert.is(bridges.length, 8);
});

test('in the steady state only bridges call the platform', () => {
  const network = startNetwork(24, 4, { seed: 2 });
  network.run(30_000);
  const before = { ...network.store.calls };
  network.run(300_000);
  const { reads, writes, watches } = network.store.calls;
  assert.is(writes - before.writes, 0);
  assert.is(watches - before.watches, 0);
  // Each of 8 bridges reads the root every 60 s and the list of zones every 5 minutes.
  assert.ok(reads - before.reads <= 8 * 7, `${reads - before.reads} reads`);
});

test('a crashed server is known to be dead everywhere, so that nothing is sent to it', () => {
  const network = startNetwork(24, 4, { seed: 3 });
  network.crash('server-5');
  // One second without an answer and two seconds as a suspect, after connections closed.
  network.run(3_500);
  const inZone = network.running.filter(
    (node) => node.identity.availabilityZone === 'saskatoon-hall',
  );
  assert.ok(inZone.every((node) => node.membership.member('server-5')?.state === 'dead'));
  network.run(10_000);
  assertMembersAgree(network);
});

test('a server that restarts under its address is a new incarnation and a full member', () => {
  const network = startNetwork(12, 3, { seed: 4 });
  const before = network.nodes.get('server-4')?.identity.incarnation ?? 0;
  startNode(network, 4, 3);
  network.run(15_000);
  assertMembersAgree(network);
  const isNew = countViews(network, 'server-4', (record) => (record?.startedAt ?? 0) > before);
  assert.is(isNew, 12);
});

test('a paused server is declared dead and joins again when it resumes', () => {
  const network = startNetwork(12, 3, { seed: 5 });
  network.freeze('server-2');
  network.run(15_000);
  assert.is(
    countViews(network, 'server-2', (record) => record?.state === 'dead'),
    11,
  );
  network.resume('server-2');
  network.run(20_000);
  assertMembersAgree(network);
});

test('a draining is known everywhere within 2 s, and it survives a false suspicion', () => {
  const network = startNetwork(40, 4, { seed: 6 });
  network.nodes.get('server-7')?.setDraining(true, network.now);
  network.run(2_000);
  assert.is(
    countViews(network, 'server-7', (record) => record?.state === 'draining'),
    40,
  );
  network.isCut = (from, to) => from.server === 'server-7' || to.server === 'server-7';
  network.run(2_500);
  network.isCut = () => false;
  network.run(15_000);
  assert.is(
    countViews(network, 'server-7', (record) => record?.state === 'draining'),
    40,
  );
  network.nodes.get('server-7')?.setDraining(false, network.now);
  network.run(15_000);
  assertMembersAgree(network);
});

test('a server that leaves is not suspected and does not come back by stale records', () => {
  const network = startNetwork(12, 3, { seed: 7 });
  network.nodes.get('server-3')?.leave(network.now);
  network.run(1_000);
  network.crash('server-3');
  network.run(30_000);
  assert.is(
    countViews(network, 'server-3', (record) => record?.state === 'left'),
    11,
  );
});

test('a lost zone is one fact: its members keep their state and come back without news', () => {
  const network = startNetwork(24, 4, { seed: 8 });
  network.isCut = (from, to) =>
    (from.availabilityZone === 'bern-a') !== (to.availabilityZone === 'bern-a');
  network.run(20_000);
  const node = network.nodes.get('server-0');
  assert.is(node?.membership.isReachable('bern-a'), false);
  assert.is(node?.membership.isReachable('brandon-hall'), true);
  assert.is(
    countViews(network, 'server-3', (record) => record?.state === 'serving'),
    24,
  );
  network.isCut = () => false;
  network.run(20_000);
  assert.is(node?.membership.isReachable('bern-a'), true);
  assertMembersAgree(network);
});

test('two halves of every zone that were cut and joined agree again on all members', () => {
  const network = startNetwork(24, 3, { seed: 9 });
  const half = (server: string): boolean => Number(server.split('-')[1]) % 2 === 0;
  network.isCut = (from, to) => half(from.server) !== half(to.server);
  network.run(60_000);
  assert.is(
    countViews(network, 'server-0', (record) => record?.state === 'dead'),
    12,
  );
  network.isCut = () => false;
  network.run(60_000);
  assertMembersAgree(network);
});

test('nodes start during an outage of the store when they are given a seed', () => {
  const network = startNetwork(6, 2, { seed: 10 });
  network.store.faults.down = true;
  const seeds = [{ server: 'server-0', address: '10.0.0.1:server-0' }];
  network.start('late', 'saskatoon-hall', 'prairie-west', seeds);
  network.run(20_000);
  assertMembersAgree(network);
});

test('lost frames lead to no lasting disagreement', () => {
  const network = startNetwork(30, 3, { seed: 11, lostFrames: 0.1 });
  for (const index of [3, 8, 13]) {
    network.crash(serverName(index));
  }
  network.run(60_000);
  const lasting = new Set(findMemberFaults(network));
  network.run(20_000);
  assert.equal(
    findMemberFaults(network).filter((fault) => lasting.has(fault)),
    [],
  );
});

test.run();
