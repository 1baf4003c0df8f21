import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { createNodeCore } from '../../src/index.js';
import type { CoreFrame, RequestHead } from '../../src/index.js';

const now = { monotonic: 1_000, wall: 1_700_000_000_000 };
const head: RequestHead = {
  depth: 0,
  headers: {},
  method: 'POST',
  path: '/',
  requestId: 'r',
  service: 'issuance',
  tenant: 't',
};
const call = { callId: 7, head, remainingMilliseconds: 1_000 };
const body = new Uint8Array();

const exchanges: readonly (readonly [CoreFrame, CoreFrame['kind']])[] = [
  [
    { ...call, kind: 'request-start', requestClass: 'idempotent', streamedBody: false },
    'request-refused',
  ],
  [
    { ...call, body, digest: 'd', key: 'k', kind: 'keyed-request', receivedAt: now.wall },
    'keyed-outcome',
  ],
  [{ callId: 7, key: 'k', kind: 'key-question', service: 'issuance' }, 'key-answer'],
  [{ kind: 'home-table-request', service: 'issuance' }, 'home-table'],
  [{ kind: 'load-probe', service: 'issuance' }, 'load-report'],
];

// Guards against replies that are dropped because the sender is not yet in the node's member table:
// the entry would then wait until the deadline for a request that was run.
for (const [frame, answer] of exchanges) {
  test(`a ${frame.kind} frame from an unknown server is answered on the connection it came from`, () => {
    const core = createNodeCore({
      identity: {
        availabilityZone: 'z',
        incarnation: now.wall,
        peerAddress: '127.0.0.1:1',
        region: 'r',
        server: 'a',
      },
      seed: 1,
    });
    const commands = core.handle({ frame, from: 'stranger', kind: 'peer-frame' }, now);
    const sent = commands.flatMap((command) => (command.kind === 'send-frame' ? [command] : []));
    const answers = sent.map(({ address, frame: { kind }, to }) => ({ address, kind, to }));
    assert.equal(answers, [{ address: '', kind: answer, to: 'stranger' }]);
  });
}

test.run();
