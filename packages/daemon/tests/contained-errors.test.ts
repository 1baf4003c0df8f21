import { SeededRandomSource } from '@peridotspring/core';
import type { GateLoad } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { guaranteeViolations } from './virtual-mesh/mesh-violations.js';
import { VirtualMesh } from './virtual-mesh/virtual-mesh.js';

const machines = 3;
const requests = 60;

/** Runs a mesh in virtual time in which each node gets requests; returns it and the number of requests without an outcome. */
async function runMesh(
  prepare: (mesh: VirtualMesh) => void,
): Promise<{ mesh: VirtualMesh; openRequests: number }> {
  const mesh = new VirtualMesh(machines, new SeededRandomSource(7));
  const { queue } = mesh;
  queue.after(1_500, () => {
    prepare(mesh);
    for (let request = 0; request < requests; request += 1)
      queue.after(20 * request, () => mesh.sendRequest(mesh.pickMachine()));
  });
  await queue.runUntil(8_000);
  return {
    mesh,
    openRequests: mesh.requests.filter(({ outcomes }) => outcomes.length !== 1).length,
  };
}

// Guards against the end of a process by an error that concerns one request at the gate.
test('an error of the gate while it starts a request ends that request and frees its slot', async () => {
  let injected = 0;
  const { mesh, openRequests } = await runMesh(({ machines: [first], queue }) => {
    const failingUntil = queue.now + 500;
    assert.ok(first);
    const { server } = first;
    const run = server.run.bind(server);
    server.run = (execution) => {
      if (queue.now > failingUntil) {
        run(execution);
        return;
      }
      injected += 1;
      throw new Error('injected');
    };
  });
  assert.ok(injected > 0);
  assert.is(openRequests, 0);
  for (const { node } of mesh.machines) assert.is(node?.driver.gaugeValues.gate_running, 0);
  assert.equal(guaranteeViolations(mesh), []);
});

// Guards against the end of a process by a frame of another version that passes the checks of the decoder.
test('an error of the entry while it handles a reply ends at most the request of the reply', async () => {
  const { mesh, openRequests } = await runMesh(({ machines: [first, second], queue }) => {
    assert.ok(first?.node && second?.node);
    const { driver } = first.node;
    const { self } = second.node;
    for (let callId = 1; callId <= requests; callId += 1) {
      queue.after(20 * callId + 1, () => {
        driver.onFrame(self, {
          callId,
          detail: 'x',
          kind: 'failed',
          get load(): GateLoad {
            throw new Error('injected');
          },
        });
      });
    }
  });
  assert.is(openRequests, 0);
  assert.equal(guaranteeViolations(mesh), []);
});

test.run();
