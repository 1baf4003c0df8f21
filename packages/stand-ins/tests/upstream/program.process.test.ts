import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

const program = fileURLToPath(new URL('../../src/upstream/main.js', import.meta.url));

test('the program tells its ports, answers, and stops when it is asked to', async () => {
  const child = spawn('node', [program, '--service-time', 'fixed:0', '--answer-bytes', '4']);
  const exited = once(child, 'exit');
  const lines = createInterface(child.stdout)[Symbol.asyncIterator]();
  const first = String((await lines.next()).value);
  const address = /^event=listening address=(\S+) control=\S+$/.exec(first)?.[1];
  const answer = await fetch(`http://${address ?? first}/x`);
  assert.is(await answer.text(), 'GET ');
  child.kill('SIGTERM');
  assert.is((await lines.next()).value, 'event=stopped executions=1');
  assert.equal(await exited, [0, null]);
});

test('a flag out of range is refused and the message names the range', async () => {
  const child = spawn('node', [program, '--slots', '0']);
  let text = '';
  child.stderr.on('data', (chunk: Buffer) => (text += String(chunk)));
  const [code] = (await once(child, 'close')) as [number];
  assert.is(code, 1);
  assert.match(text, /expected an integer from 1 to 100000/);
});

test.run();
