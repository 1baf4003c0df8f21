import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { formatBuildIdentity, readBuildIdentity } from '../src/index.js';

test('code without a bundle is identified by its compiled files', async () => {
  const identity = await readBuildIdentity();
  assert.match(identity.sources, /^compiled-[0-9a-f]{16}$/);
  assert.equal(await readBuildIdentity(), identity);
  const { architecture, runtime, sources } = identity;
  assert.equal([architecture, runtime], [process.arch, process.version]);
  assert.is(
    formatBuildIdentity(identity),
    `sources=${sources} commit=unknown runtime=${runtime} architecture=${architecture}`,
  );
});

test.run();
