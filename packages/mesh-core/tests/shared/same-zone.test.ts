import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { isSameZone } from '../../src/index.js';

const here = { availabilityZone: 'zone-a', region: 'region-1' };

const cases: readonly (readonly [string, typeof here, boolean])[] = [
  ['the same zone', here, true],
  ['another zone', { ...here, availabilityZone: 'zone-b' }, false],
  // The pull of configurations and the load reports took such nodes for near ones.
  ['a zone of the same name in another region', { ...here, region: 'region-2' }, false],
];

for (const [name, there, expected] of cases) {
  test(`${name} is ${expected ? '' : 'not '}near`, () => {
    assert.is(isSameZone(here, there), expected);
  });
}

test.run();
