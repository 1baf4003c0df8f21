import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ClientFaultRecorder } from '../../src/operators/client-fault-recorder.js';

test('each rejected connection is counted, but only 20 lines a second are logged', () => {
  let now = 0;
  let counted = 0;
  const suppressed: unknown[] = [];
  const recorder = new ClientFaultRecorder({
    log: {
      info: (_event, fields) => {
        suppressed.push(fields?.suppressed);
      },
    },
    metrics: {
      count: () => {
        counted += 1;
      },
    },
    wallClock: () => now,
  });
  for (let index = 0; index < 50; index += 1) recorder.onPeerRejected('silent', '');
  now = 1_000;
  recorder.onPeerRejected('silent', '');
  assert.is(counted, 51);
  assert.equal(suppressed, [...Array.from({ length: 20 }, () => 0), 30]);
});

test.run();
