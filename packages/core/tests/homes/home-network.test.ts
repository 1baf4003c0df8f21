import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { defaultHomeSettings, nextInteger, SeededRandomSource } from '../../src/index.js';
import type { HomeSettings } from '../../src/index.js';
import { keyCreatedAt, violations } from './shared/home-checks.js';
import { epoch, HomeNetwork } from './shared/home-network.js';
import type { FaultRates } from './shared/home-network.js';

const serverCount = 5;
/**
 * All nodes start at the same time, so their witnesses wait one lease before the first activation.
 */
const warmUpMilliseconds = 5_000;
const faultyMilliseconds = 18_000;
const faultRates: FaultRates = {
  connectionLoss: 0.2,
  dispatchLoss: 0.05,
  duplicate: 0.05,
  gateRefusal: 0.1,
  clockSkewMilliseconds: 500,
  slowFrame: 0.01,
  storeAnswerLoss: 0.2,
};

const fault = fc.record({
  at: fc.nat(faultyMilliseconds - 4_000),
  kind: fc.constantFrom(
    'crash',
    'restart',
    'freeze',
    'cut',
    'false-alarm',
    'stop',
    'outage',
    'add',
  ),
  server: fc.nat(serverCount - 1),
  time: fc.integer({ max: 8_000, min: 200 }),
});
type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;

function scheduleFault(
  network: HomeNetwork,
  { at, kind, server, time }: Fault,
  index: number,
): void {
  const name = `s${server}`;
  network.after(at, () => {
    if (kind === 'outage') {
      network.isStoreUp = false;
      network.after(time, () => {
        network.isStoreUp = true;
      });
    } else if (kind === 'add') network.addNode(`n${index}`, `zone-${index % 3}`);
    else if (network.nodes.get(name)?.state !== 'up') return;
    else if (kind === 'freeze') network.freeze(name, time);
    else if (kind === 'cut') network.cutOff(name, time);
    else if (kind === 'false-alarm') network.reportDead(name, time);
    else if (kind === 'stop') network.stop(name);
    else {
      network.crash(name);
      const delay = kind === 'restart' ? 20 : time;
      network.after(delay, () => {
        network.addNode(name, `zone-${server % 3}`);
      });
    }
  });
}

/**
 * Sends keys and resends of them through random nodes. The creation time of a key differs from the
 * sending time by up to 300 ms, or is up to 2500 ms in the future; some keys have none.
 */
function sendKeys(network: HomeNetwork, seed: number, milliseconds: number): void {
  const random = new SeededRandomSource(seed);
  const sendLater = (key: string, delay: number, digest: string): void => {
    network.after(delay, () => {
      const live = network.liveServers();
      const entry = live[nextInteger(random, live.length)];
      if (entry !== undefined) network.send(key, entry, digest);
    });
  };
  for (let at = 0, number = 0; at < milliseconds; at += 40, number += 1) {
    network.after(at, () => {
      const kind = random.next();
      const shift = kind < 0.1 ? nextInteger(random, 2_500) : nextInteger(random, 600) - 300;
      const isOpaque = kind > 0.95;
      const key = isOpaque ? `key-${number}` : keyCreatedAt(epoch + network.now + shift, number);
      sendLater(key, 0, 'd');
      for (let resend = 0; resend < 3; resend += 1) {
        const digest = random.next() < 0.03 ? 'other' : 'd';
        sendLater(key, nextInteger(random, resend === 0 ? 200 : 6_000), digest);
      }
    });
  }
}

function runWithFaults(
  seed: number,
  faults: readonly Fault[],
  settings: HomeSettings,
): HomeNetwork {
  const network = new HomeNetwork(seed, serverCount, faultRates, settings);
  network.runFor(warmUpMilliseconds);
  for (const [index, planned] of faults.entries()) scheduleFault(network, planned, index);
  sendKeys(network, seed + 1, faultyMilliseconds);
  network.runFor(faultyMilliseconds + 8_000);
  return network;
}

const faultSchedule = fc.tuple(fc.nat(1_000_000), fc.array(fault, { maxLength: 6 }));

test('no fault makes a key run twice or contradicts "not run"', () => {
  let answered = 0;
  let attempts = 0;
  fc.assert(
    fc.property(faultSchedule, ([seed, faults]) => {
      const network = runWithFaults(seed, faults, defaultHomeSettings);
      answered += network.attempts.filter(({ outcome }) => outcome?.kind === 'answered').length;
      attempts += network.attempts.length;
      assert.equal(violations(network), []);
    }),
    { numRuns: 150, seed: 20_261 },
  );
  console.log(`with faults: ${answered} of ${attempts} attempts answered`);
  assert.ok(answered > attempts / 4, 'most attempts were not answered, so little was tested');
});

// Records are evicted, handed over and restored while their keys are resent; none may run again.
test('no key runs twice while full key stores evict keys', () => {
  const settings = {
    ...defaultHomeSettings,
    maximumRecords: 40,
    minimumRetentionMilliseconds: 1_500,
  };
  let evicted = 0;
  fc.assert(
    fc.property(faultSchedule, ([seed, faults]) => {
      const network = runWithFaults(seed, faults, settings);
      assert.equal(violations(network), []);
      for (const { manager } of network.nodes.values()) evicted += manager.recordUsage.evicted;
    }),
    { numRuns: 60, seed: 20_262 },
  );
  assert.ok(evicted > 1_000, `only ${evicted} keys were evicted`);
});

test('the check finds violations when the cutoff and the void rule are ineffective', () => {
  const settings = { ...defaultHomeSettings, maximumClockSkewMilliseconds: -10_000 };
  const details = fc.check(
    fc.property(
      faultSchedule,
      ([seed, faults]) => violations(runWithFaults(seed, faults, settings)).length === 0,
    ),
    { endOnFailure: true, numRuns: 30, seed: 7 },
  );
  assert.ok(details.failed);
});

test.run();
