import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { playMesh } from './virtual-mesh/play-mesh.js';

/** Seeds that have failed stay here, each with its cause; `virtual-mesh/main.js` plays any number. */
const seeds: readonly (readonly [number, string])[] = [
  ...Array.from({ length: 12 }, (_, index) => [index + 1, 'a short run'] as const),
  [1_445, 'a lifetime learned from a health check never got its start'],
];

for (const [seed, cause] of seeds) {
  test(`seed ${seed} (${cause}): nodes keep what they promise while processes, servers, links and the store fail`, async () => {
    const { answered, broken, requests } = await playMesh(seed);
    assert.equal(broken, []);
    assert.ok(answered > requests / 2, `${answered} of ${requests} requests were answered`);
  });
}

// With two watchers for five nodes, nobody watched the configuration once both had started again and none took over.
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`seed ${seed} in one zone: every node has the newest configuration when the faults end`, async () => {
    const { broken } = await playMesh(seed, { zones: 1 });
    assert.equal(broken, []);
  });
}

// A late report reached a node that had started again beside a server that drained: it took the server for ready.
// In 2115 the earlier life had ended 1 ms after it confirmed the drain, in 2226 a DELETE wiped what others had told.
for (const seed of [39, 59, 95, 133, 2_115, 2_226]) {
  test(`seed ${seed} with 8 nodes: a server that an earlier life has shut for is not used again`, async () => {
    const { broken } = await playMesh(seed, { machines: 8 });
    assert.equal(broken, []);
  });
}

// Fleets of this size connect to a part of their nodes, and half of them end at once.
for (const seed of [1, 2]) {
  test(`seed ${seed} with 60 nodes: few connections are enough to keep what is promised`, async () => {
    const { answered, broken, requests } = await playMesh(seed, { machines: 60, zones: 3 });
    assert.equal(broken, []);
    assert.ok(answered > requests / 2, `${answered} of ${requests} requests were answered`);
  });
}

// What the store acknowledged for seconds is gone, also right after a change; nodes start on the older copy.
for (const [seed, machines] of [
  [1, 5],
  [2, 5],
  [3, 8],
  [4, 8],
] as const) {
  test(`seed ${seed} with ${machines} nodes: a store that comes back from a copy takes nothing back`, async () => {
    const { answered, broken, requests } = await playMesh(seed, { machines, restoresStore: true });
    assert.equal(broken, []);
    assert.ok(answered > requests / 2, `${answered} of ${requests} requests were answered`);
  });
}

test.run();
