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
    const { broken } = await playMesh(seed, 1);
    assert.equal(broken, []);
  });
}

test.run();
