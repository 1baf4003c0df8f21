import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findFreePorts } from '../src/index.js';

// Regression: two nodes of a test got the same port, and the second one failed with EADDRINUSE.
test('a port is handed out only once in a process', async () => {
  const ports: number[] = [];
  for (let node = 0; node < 200; node += 1) ports.push(...(await findFreePorts(5)));
  assert.is(ports.length, 1_000);
  assert.is(new Set(ports).size, 1_000);
});

test('no port is in the range that the system assigns to outgoing connections', async () => {
  const firstOutgoingPort = 32_768;
  for (const port of await findFreePorts(50)) assert.ok(port < firstOutgoingPort);
});

// Regression: of two fleets that started at the same time, one in fifteen pairs shared a port.
test('processes that start at the same time find different ports', async () => {
  const source = new URL('../src/index.js', import.meta.url).href;
  const script = `import(${JSON.stringify(source)}).then(async ({ findFreePorts }) => console.log((await findFreePorts(30)).join()));`;
  for (let round = 0; round < 4; round += 1) {
    const outputs = await Promise.all(
      Array.from({ length: 6 }, () => promisify(execFile)(process.execPath, ['-e', script])),
    );
    const ports = outputs.flatMap(({ stdout }) => stdout.trim().split(','));
    assert.is(ports.length, 180);
    assert.is(new Set(ports).size, 180);
  }
});

test.run();
