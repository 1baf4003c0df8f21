import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { isSameZone } from '../../src/index.js';

const here = { availabilityZone: 'zone-a', region: 'region-1' };

const cases: readonly (readonly [string, typeof here, boolean])[] = [
  ['the same zone', here, true],
  ['another zone', { ...here, availabilityZone: 'zone-b' }, false],
  // Configuration pulls and load reports used to treat such nodes as nodes of the same zone.
  ['a zone of the same name in another region', { ...here, region: 'region-2' }, false],
];

for (const [name, there, expected] of cases) {
  test(`${name} is ${expected ? '' : 'not '}recognized as the same zone`, () => {
    assert.is(isSameZone(here, there), expected);
  });
}

test.run();
