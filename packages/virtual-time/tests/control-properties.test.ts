import { nextInteger, SeededRandomSource } from '@peridotspring/core';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { ControlNetwork } from '../src/control-network.js';
import { ConfigurationRun } from './control-configuration-setup.js';
import {
  assertMembersAgree,
  serverName,
  startNetwork,
  startNode,
  testZones,
} from './control-setup.js';

const nodeCount = 16;
const zoneCount = 4;
const serviceNames = ['a', 'b', 'c', 'd', 'e'];

/** One thing that happens to the network, then some time passes. */
const faultKinds = [
  'crash',
  'restart',
  'freeze',
  'resume',
  'drain',
  'cut-zone',
  'cut-halves',
  'join',
  'store-down',
  'store-up',
  'lose-answers',
  'late-effects',
  'cut-watches',
  'propose',
  'propose-twice',
] as const;

const faults = fc.array(
  fc.record({
    kind: fc.constantFrom(...faultKinds),
    index: fc.nat(nodeCount - 1),
    wait: fc.constantFrom(50, 700, 3_000, 9_000),
  }),
  { minLength: 4, maxLength: 14 },
);

type Fault = (typeof faultKinds)[number];

const injections: Readonly<Record<Fault, (network: ControlNetwork, index: number) => void>> = {
  crash: (network, index) => {
    network.crash(serverName(index));
  },
  restart: (network, index) => {
    startNode(network, index, zoneCount);
  },
  freeze: (network, index) => {
    network.freeze(serverName(index));
  },
  resume: (network, index) => {
    network.resume(serverName(index));
  },
  drain: (network, index) => {
    network.nodes.get(serverName(index))?.setDraining(true, network.now);
  },
  'cut-zone': (network, index) => {
    const zone = testZones[index % zoneCount]?.[0];
    network.isCut = (from, to) =>
      (from.availabilityZone === zone) !== (to.availabilityZone === zone);
  },
  'cut-halves': (network) => {
    network.isCut = (from, to) => isInHalf(from.server) !== isInHalf(to.server);
  },
  join: (network) => {
    network.isCut = () => false;
  },
  'store-down': (network) => {
    network.store.faults.down = true;
  },
  'store-up': (network) => {
    network.store.faults.down = false;
  },
  'lose-answers': (network) => {
    network.store.faults.lostAnswers = 0.5;
  },
  'late-effects': (network) => {
    Object.assign(network.store.faults, { lateEffects: 0.3, lateWatches: 0.5, duplicates: 0.5 });
  },
  'cut-watches': (network) => {
    network.store.cutWatches();
  },
  propose: () => undefined,
  'propose-twice': () => undefined,
};

function isInHalf(server: string): boolean {
  return Number(server.split('-')[1]) < nodeCount / 2;
}

/** Ends every fault and lets the nodes find each other again. */
function heal(network: ControlNetwork): void {
  network.isCut = () => false;
  Object.assign(network.store.faults, {
    down: false,
    lostAnswers: 0,
    lateEffects: 0,
    lateWatches: 0,
    duplicates: 0,
  });
  for (const server of network.nodes.keys()) {
    network.resume(server);
  }
  network.run(90_000);
}

test('after any faults all running nodes agree on all members', () => {
  fc.assert(
    fc.property(fc.nat(), faults, (seed, events) => {
      const network = startNetwork(nodeCount, zoneCount, { seed, tickMilliseconds: 50 });
      for (const { kind, index, wait } of events) {
        injections[kind](network, index);
        network.run(wait);
      }
      heal(network);
      assertMembersAgree(network);
      for (const node of network.running) {
        for (const [zone] of testZones) {
          const isEmpty = !network.running.some(
            (other) => other.identity.availabilityZone === zone,
          );
          assert.ok(isEmpty || node.membership.isReachable(zone), `${node.server} misses ${zone}`);
        }
      }
    }),
    { seed: 2026, numRuns: 40 },
  );
});

test('under any faults answers to operators are true, changes are whole and revisions only rise', () => {
  let accepted = 0;
  let refused = 0;
  fc.assert(
    fc.property(fc.nat(), faults, (seed, events) => {
      const run = new ConfigurationRun(nodeCount, zoneCount, { seed, tickMilliseconds: 50 });
      const random = new SeededRandomSource(seed);
      const pick = (): string => serviceNames[nextInteger(random, serviceNames.length)] ?? 'a';
      for (const { kind, index, wait } of events) {
        // Every fault meets changes on their way, from one operator or from two that race.
        run.propose(serverName(index), [...new Set([pick(), pick()])]);
        if (kind === 'propose-twice') run.propose(serverName((index + 5) % nodeCount), [pick()]);
        run.network.run(nextInteger(random, 10));
        injections[kind](run.network, index);
        run.network.run(wait);
      }
      heal(run.network);
      run.assertAnswersAreTrue();
      run.assertInForceEverywhere();
      accepted += run.proposals.filter(({ result }) => result?.kind === 'accepted').length;
      refused += run.proposals.filter(({ result }) => result?.kind === 'conflict').length;
    }),
    { seed: 2027, numRuns: 60 },
  );
  // Guards against a run in which the faults leave nothing to check.
  assert.ok(accepted > 100 && refused > 10, `${accepted} accepted, ${refused} conflicts`);
});

test.run();
