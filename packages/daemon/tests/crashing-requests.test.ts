import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { EventQueue } from './virtual-mesh/event-queue.js';
import { guaranteeViolations } from './virtual-mesh/mesh-violations.js';
import { simulateMesh } from './virtual-mesh/simulate-mesh.js';
import { VirtualMesh } from './virtual-mesh/virtual-mesh.js';

/** Sends a request from the first second on, with random pauses. */
function sendRepeatedly(
  queue: EventQueue,
  random: SeededRandomSource,
  { maximumPause, send, until }: { maximumPause: number; send: () => void; until: number },
): void {
  const sendNext = (): void => {
    if (queue.now > until) return;
    send();
    queue.after(maximumPause * random.next(), sendNext);
  };
  queue.after(1_000, sendNext);
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`seed ${seed}: a request that crashes each server that runs it is held off, beside faults of all kinds`, async () => {
    const { violations } = await simulateMesh(seed, { sendsDeadlyRequest: true });
    assert.equal(violations, []);
  });
}

// Regression: when all nodes had restarted at once, the request crashed three more servers.
for (const seed of [1, 2, 3]) {
  test(`seed ${seed}: a request that crashes servers is remembered when all nodes restart at once, again and again`, async () => {
    const random = new SeededRandomSource(seed);
    const mesh = new VirtualMesh(5, random);
    const { queue } = mesh;
    const sendDeadlyRequest = (): void => {
      mesh.sendDeadlyRequest(mesh.pickMachine());
    };
    sendRepeatedly(queue, random, { maximumPause: 200, send: sendDeadlyRequest, until: 20_000 });
    for (const killedAt of [6_000, 10_000, 14_000]) {
      queue.after(killedAt, () => {
        for (const machine of mesh.machines) {
          mesh.kill(machine);
          queue.after(300, () => {
            mesh.start(machine);
          });
        }
      });
    }
    await queue.runUntil(22_000);
    assert.equal(guaranteeViolations(mesh), []);
    assert.ok(mesh.machines.flatMap(({ server }) => server.crashTimes).length <= 5);
  });
}

// Servers that share a host or a power supply crash together, while many of them run the same request.
for (const seed of [1, 2, 3]) {
  test(`seed ${seed}: a popular request is not held off because servers crash at the same time, three times`, async () => {
    const random = new SeededRandomSource(seed);
    const mesh = new VirtualMesh(6, random);
    const { queue } = mesh;
    const sendPopularRequest = (): void => {
      mesh.sendPopularRequest(mesh.pickMachine());
    };
    sendRepeatedly(queue, random, { maximumPause: 6, send: sendPopularRequest, until: 12_000 });
    for (const crashedAt of [3_000, 6_000, 9_000]) {
      queue.after(crashedAt, () => {
        for (const { server } of mesh.machines) server.crash(500);
      });
    }
    await queue.runUntil(15_000);
    assert.equal(guaranteeViolations(mesh), []);
  });
}

test('an operator releases a quarantined request by the settings of one node, once for each entry', async () => {
  const mesh = new VirtualMesh(5, new SeededRandomSource(1));
  const [machine] = mesh.machines;
  assert.ok(machine);
  const countQuarantined = (): number =>
    mesh.machines.filter(({ node }) => node?.driver.gaugeValues.quarantined_requests === 1).length;
  const crashServers = async (until: number): Promise<void> => {
    while (mesh.queue.now < until) {
      mesh.sendDeadlyRequest(mesh.pickMachine());
      await mesh.queue.runUntil(mesh.queue.now + 200);
    }
  };
  await mesh.queue.runUntil(1_000);
  await crashServers(3_000);
  assert.is(countQuarantined(), 5);
  mesh.releaseRequests(machine, [...mesh.quarantinedFingerprints]);
  await mesh.queue.runUntil(mesh.queue.now + 100);
  assert.is(countQuarantined(), 0);
  await crashServers(6_000);
  mesh.releaseRequests(machine, [...mesh.quarantinedFingerprints]);
  await mesh.queue.runUntil(mesh.queue.now + 100);
  assert.is(countQuarantined(), 5);
});

test.run();
