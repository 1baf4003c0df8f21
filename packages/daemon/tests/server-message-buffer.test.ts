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

/** Each case: its name, the messages received before and after the buffer is released, and those delivered. */
const cases: readonly (readonly [
  string,
  readonly ServerMessage[],
  readonly ServerMessage[],
  readonly ServerMessage[],
])[] = [
  ['delivers no report before it is released', [report('i-1')], [], []],
  [
    'delivers buffered reports in the order of their arrival',
    [report('i-1'), report('i-2')],
    [report('i-3')],
    [report('i-1'), report('i-2'), report('i-3')],
  ],
  // The server receives the confirmation of its drain at once, so the drain must take effect at once. Reports received
  // earlier have lower sequence numbers and change nothing after it.
  [
    'delivers at once that a server is draining',
    [report('i-1'), report('i-1', true)],
    [report('i-2')],
    [report('i-1', true), report('i-1'), report('i-2')],
  ],
  ['delivers at once that a server leaves', [leave], [], [leave]],
  [
    'discards the earlier reports of a server that has left',
    [report('i-1'), report('i-2'), leave],
    [report('i-3')],
    [leave, report('i-2'), report('i-3')],
  ],
];

for (const [name, before, after, expected] of cases) {
  test(name, () => {
    const delivered: ServerMessage[] = [];
    const buffer = new ServerMessageBuffer((message) => delivered.push(message));
    for (const message of before) buffer.receive(message);
    if (after.length > 0) buffer.release();
    for (const message of after) buffer.receive(message);
    assert.is(buffer.isReleased, after.length > 0);
    assert.equal(delivered, expected);
  });
}

test.run();
