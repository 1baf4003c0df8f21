import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { expectedWait, remainingWork } from '../../src/admission/server-room.js';

const room = {
  limit: 2,
  nestedLimit: 2,
  meanWork: 60,
  remainingWork: [300, 40],
  running: 2,
  startIntervalMilliseconds: undefined,
  waitForStart: () => 0,
};

// The mean work of all routes was assumed for each waiting request, so that short requests seemed to wait for long ones.
test('waits for a slot and for the work ahead', () => {
  assert.is(expectedWait([], room), 30);
  assert.is(expectedWait([20], room), 40);
  assert.is(expectedWait([500], room), 280);
  assert.is(expectedWait([], { ...room, running: 1 }), 0);
});

test('does not use slots beyond a limit that has fallen', () => {
  assert.is(expectedWait([], { ...room, limit: 1 }), 120);
});

test('expects a request to go on for some time that has run for longer than expected', () => {
  assert.is(remainingWork(100, 30), 70);
  assert.is(remainingWork(100, 500), 25);
});

test.run();
