import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { StartFrame } from '../../src/index.js';
import { GateHarness } from '../gate/gate-harness.js';

const slots = 2;
const call = {
  nested: true,
  remainingMilliseconds: 300,
  routeName: 'call',
  targetMilliseconds: 120,
};
const long: Partial<StartFrame> = {
  priority: 2,
  remainingMilliseconds: 9_000,
  routeName: 'long',
  targetMilliseconds: 8_000,
};

/** A gate that knows that a call takes 20 ms and a long request 400 ms. */
function harnessAt(now: number): GateHarness {
  const harness = new GateHarness(slots);
  for (let count = 0; count < 40; count += 1) {
    const isCall = count % 2 === 0;
    const startedAt = now - 20_000 + count * 500;
    harness.start(isCall ? call : long, startedAt);
    harness.finish(count, startedAt + (isCall ? 20 : 400));
  }
  return harness;
}

// Long requests of low priority held all slots, and the calls that arrived meanwhile missed their targets.
test('keeps the last slot free for calls that could not wait for a long request', () => {
  const harness = harnessAt(0);
  harness.start(call, 0);
  harness.finish(40, 20);
  harness.start(call, 30);
  harness.finish(41, 50);
  harness.start(long, 60);
  harness.start(long, 61);
  assert.is(harness.running.length, 43, 'one long request runs');
  harness.start(call, 70);
  assert.is(harness.running.length, 44, 'the call starts at once');
});

test('uses all slots for long requests when no calls arrive', () => {
  const harness = harnessAt(0);
  harness.start(long, 5_000);
  harness.start(long, 5_001);
  assert.is(harness.running.length, 42);
});

test.run();
