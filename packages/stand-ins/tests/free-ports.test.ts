import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findFreePorts } from '../src/index.js';

// Regression: two nodes of a test got the same port, and the second one failed with EADDRINUSE.
test('a port is handed out only once in a process', async () => {
  const ports = [...(await findFreePorts(300)), ...(await findFreePorts(300))];
  assert.is(new Set(ports).size, 600);
});

test('no port is in the range that the system assigns to outgoing connections', async () => {
  const firstOutgoingPort = 32_768;
  for (const port of await findFreePorts(50)) assert.ok(port < firstOutgoingPort);
});

test.run();
