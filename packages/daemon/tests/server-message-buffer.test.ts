import type { ServerMessage } from '@peridotspring/upstreams/mesh';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ServerMessageBuffer } from '../src/mesh/server-message-buffer.js';

function report(instanceId: string, draining = false): ServerMessage {
  return {
    kind: 'report',
    report: {
      coldMilliseconds: 0,
      draining,
      instanceId,
      sequence: 1,
      slots: 4,
      startedAt: undefined,
    },
  };
}

const leave: ServerMessage = { instanceId: 'i-1', kind: 'leave' };

/** What comes before and after the inbox opens, and what is taken then. */
const cases: readonly (readonly [
  string,
  readonly ServerMessage[],
  readonly ServerMessage[],
  readonly ServerMessage[],
])[] = [
  ['nothing is taken before it opens', [report('i-1')], [], []],
  [
    'what was kept is taken in its order',
    [report('i-1'), report('i-2')],
    [report('i-3')],
    [report('i-1'), report('i-2'), report('i-3')],
  ],
  // Its confirmation binds at once; earlier reports have lower numbers and change nothing after it.
  [
    'that a server drains is taken at once',
    [report('i-1'), report('i-1', true)],
    [report('i-2')],
    [report('i-1', true), report('i-1'), report('i-2')],
  ],
  ['that a server leaves is taken at once', [leave], [], [leave]],
  [
    'a server that left does not come back by what it said before',
    [report('i-1'), report('i-2'), leave],
    [report('i-3')],
    [leave, report('i-2'), report('i-3')],
  ],
];

for (const [name, before, after, expected] of cases) {
  test(name, () => {
    const taken: ServerMessage[] = [];
    const inbox = new ServerMessageBuffer((message) => taken.push(message));
    for (const message of before) inbox.receive(message);
    if (after.length > 0) inbox.release();
    for (const message of after) inbox.receive(message);
    assert.is(inbox.isReleased, after.length > 0);
    assert.equal(taken, expected);
  });
}

test.run();
