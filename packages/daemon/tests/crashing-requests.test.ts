import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { simulateMesh } from './virtual-mesh/simulate-mesh.js';

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`seed ${seed}: a request that crashes each server that runs it is held off, beside faults of all kinds`, async () => {
    const { violations } = await simulateMesh(seed, { sendsDeadlyRequest: true });
    assert.equal(violations, []);
  });
}

test.run();
