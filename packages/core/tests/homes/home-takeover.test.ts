import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { keyCreatedAt, violations } from './shared/home-checks.js';
import { epoch, HomeNetwork } from './shared/home-network.js';
import type { Attempt } from './shared/home-network.js';

const keyIntervalMilliseconds = 10;
const settleMilliseconds = 5_000;

/** Sends a fresh key every 10 ms through the live nodes other than s0, in turn. */
function sendFreshKeys(network: HomeNetwork, milliseconds: number): Attempt[] {
  const sent: Attempt[] = [];
  for (let at = 0; at < milliseconds; at += keyIntervalMilliseconds) {
    network.after(at, () => {
      const live = network.liveServers().filter((server) => server !== 's0');
      const entry = live[sent.length % live.length];
      const key = keyCreatedAt(epoch + network.now, network.attempts.length);
      if (entry !== undefined) sent.push(network.send(key, entry));
    });
  }
  network.runFor(milliseconds + 3_000);
  return sent;
}

function isAnswered({ outcome }: Attempt): boolean {
  return outcome?.kind === 'answered';
}

function settledNetwork(seed: number, servers: number): HomeNetwork {
  const network = new HomeNetwork(seed, servers);
  network.runFor(settleMilliseconds);
  return network;
}

function rangeCountOf(network: HomeNetwork, server: string): number {
  return network.table()?.ranges.filter((home) => home?.server === server).length ?? 0;
}

test('without faults every request is answered, also while ranges are rebalanced across homes', () => {
  const network = settledNetwork(1, 5);
  const sent = sendFreshKeys(network, 90_000);
  assert.equal(
    sent.filter((attempt) => !isAnswered(attempt)),
    [],
  );
  assert.equal(violations(network), []);
  const counts = [0, 1, 2, 3, 4].map((index) => rangeCountOf(network, `s${index}`));
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, `ranges per home: ${counts.join(' ')}`);
  const slowest = Math.max(...sent.map((attempt) => (attempt.answeredAt ?? 0) - attempt.enteredAt));
  console.log(`slowest answer while ranges moved: ${slowest} ms`);
  assert.is(network.counters.get('home_activations takeover'), undefined);
});

/**
 * Returns the time in ms from a fault of the home of all ranges until every later fresh key is
 * answered.
 */
function recoveryTime(seed: number, fault: (network: HomeNetwork) => void): number {
  const network = settledNetwork(seed, 5);
  const home = network.table()?.ranges[0]?.server;
  assert.ok(home !== undefined);
  if (home !== 's0') {
    // The faults are applied to s0, so the ranges are moved there first.
    for (const server of ['s1', 's2', 's3', 's4']) if (server === home) network.stop(server);
    network.runFor(settleMilliseconds);
  }
  const at = network.now;
  fault(network);
  const sent = sendFreshKeys(network, 15_000);
  assert.equal(violations(network), []);
  const unanswered = sent.filter((attempt) => !isAnswered(attempt));
  const last = unanswered[unanswered.length - 1];
  return last === undefined ? 0 : last.enteredAt + keyIntervalMilliseconds - at;
}

const takeoverCases = [
  {
    name: 'crash',
    fault: (network: HomeNetwork) => {
      network.crash('s0');
    },
  },
  {
    name: 'freeze',
    fault: (network: HomeNetwork) => {
      network.freeze('s0', 20_000);
    },
  },
  {
    name: 'cut',
    fault: (network: HomeNetwork) => {
      network.cutOff('s0', 20_000);
    },
  },
  {
    name: 'restart',
    fault: (network: HomeNetwork) => {
      network.crash('s0');
      network.after(20, () => {
        network.addNode('s0', 'zone-0');
      });
    },
  },
];

for (const { fault, name } of takeoverCases) {
  test(`fresh keys are served again within 7 s of a ${name} of the home`, () => {
    const times = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) => recoveryTime(seed, fault));
    console.log(
      `${name}: fresh keys served again after ${Math.min(...times)} to ${Math.max(...times)} ms`,
    );
    assert.ok(Math.max(...times) <= 7_000);
    assert.ok(Math.max(...times) > 0, 'the fault had no effect, so nothing was tested');
  });
}

test('a planned stop loses no record and makes no outcome unknown', () => {
  for (const seed of [1, 2, 3, 4]) {
    const network = settledNetwork(seed, 4);
    network.runFor(60_000);
    const before = sendFreshKeys(network, 1_000);
    network.after(300, () => {
      network.stop('s2');
    });
    const during = sendFreshKeys(network, 4_000);
    assert.equal(
      during.filter((attempt) => !isAnswered(attempt)),
      [],
    );
    assert.is(network.nodes.get('s2')?.state, 'left');
    assert.is(rangeCountOf(network, 's2'), 0);
    for (const { key } of [...before, ...during]) network.send(key, 's1');
    const resent = network.attempts.slice(-before.length - during.length);
    network.runFor(3_000);
    const recorded = resent.filter(
      ({ outcome }) => outcome?.kind === 'answered' && outcome.recorded,
    );
    assert.is(recorded.length, resent.length);
    assert.equal(violations(network), []);
  }
});

test('a service that scaled to zero serves fresh keys again and never runs an old one', () => {
  const network = settledNetwork(3, 1);
  const old = keyCreatedAt(epoch + network.now, 999_999);
  network.send(old, 's0');
  network.runFor(1_000);
  network.stop('s0');
  network.runFor(2_000);
  assert.is(network.nodes.get('s0')?.state, 'left');
  assert.is(rangeCountOf(network, 's0'), 0);
  network.addNode('s1', 'zone-1');
  network.runFor(5_000);
  const resent = network.send(old, 's1');
  const fresh = sendFreshKeys(network, 500);
  assert.ok(fresh.every(isAnswered));
  assert.is(resent.outcome?.kind, 'outcome-unknown');
  assert.equal(violations(network), []);
});

test('a witness that does not come back is replaced, and the old set is removed', () => {
  const network = settledNetwork(5, 6);
  const [gone] = network.table()?.quorums[0] ?? [];
  assert.ok(gone !== undefined);
  network.crash(gone);
  network.runFor(25_000);
  const quorums = network.table()?.quorums ?? [];
  assert.is(quorums.length, 1);
  assert.is(quorums[0]?.length, 5);
  assert.not.ok(quorums[0]?.includes(gone));
  assert.ok(sendFreshKeys(network, 500).every(isAnswered));
});

test('an outage of the store stops no live home', () => {
  const network = settledNetwork(4, 3);
  network.isStoreUp = false;
  const sent = sendFreshKeys(network, 20_000);
  assert.ok(sent.every(isAnswered));
});

test.run();
