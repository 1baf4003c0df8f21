import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { guaranteeViolations } from './virtual-mesh/mesh-violations.js';
import { VirtualMesh } from './virtual-mesh/virtual-mesh.js';

const machines = 4;
/** Longer than the grace period. */
const requestTimeoutMilliseconds = 8_000;
/** Servers then work between 0.25 s and 3 s on a request. */
const workFactor = 50;
const stoppedAt = 4_000;

// Regression: requests that came late in the grace period were passed on, and cut at its end without an answer.
for (const seed of [1, 2, 3, 4]) {
  test(`seed ${seed}: a node that stops answers each request that it has taken, however long it needs`, async () => {
    const random = new SeededRandomSource(seed);
    const mesh = new VirtualMesh(machines, random, 2, false, requestTimeoutMilliseconds);
    const { queue } = mesh;
    const [stopping] = mesh.machines;
    assert.ok(stopping);
    const sendNextRequest = (): void => {
      if (queue.now > stoppedAt + 4_000) return;
      mesh.sendRequest(random.next() < 0.5 ? stopping : mesh.pickMachine());
      queue.after(200 * random.next(), sendNextRequest);
    };
    queue.after(1_500, () => {
      for (const { server } of mesh.machines) server.workFactor = workFactor;
      sendNextRequest();
    });
    queue.after(stoppedAt, () => {
      mesh.stop(stopping);
    });
    await queue.runUntil(stoppedAt + 2 * requestTimeoutMilliseconds);
    assert.equal(guaranteeViolations(mesh), []);
  });
}

// Regression: each stop took the server beside the node out of use for the whole grace period, so that a service had no server
// left while its nodes were stopped one after the other.
test('the server beside a stopping node gets requests of other nodes for another second', async () => {
  const random = new SeededRandomSource(5);
  const mesh = new VirtualMesh(machines, random, 2);
  const { queue } = mesh;
  const [stopping, ...others] = mesh.machines;
  assert.ok(stopping);
  const sendNextRequest = (): void => {
    if (queue.now > stoppedAt + 1_000) return;
    for (const machine of others) mesh.sendRequest(machine);
    queue.after(20, sendNextRequest);
  };
  queue.after(1_500, sendNextRequest);
  queue.after(stoppedAt, () => {
    mesh.stop(stopping);
  });
  await queue.runUntil(stoppedAt + 8_000);
  const runsSince = stopping.server.runs.filter(({ at }) => at > stoppedAt + 300);
  assert.ok(runsSince.length > 0);
  assert.equal(guaranteeViolations(mesh), []);
});

test.run();
