import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ProcessingAllowance } from '../../src/index.js';

const options = { initialMicroseconds: 100, maximumMicroseconds: 1_000, share: 0.1 };

test('what is spent beyond the allowance is owed, and becomes available with time', () => {
  const allowance = new ProcessingAllowance(options, 0);
  allowance.spend(600, 0);
  assert.ok(allowance.isUsedUp(0));
  const milliseconds = allowance.millisecondsUntilAvailable(0);
  assert.ok(allowance.isUsedUp(milliseconds - 1));
  assert.not(allowance.isUsedUp(milliseconds));
});

// Guards against a client that saves up processor time while it is idle, and then takes it all at once.
test('no more than the maximum is saved up', () => {
  const allowance = new ProcessingAllowance(options, 0);
  allowance.spend(1_001, 3_600_000);
  assert.ok(allowance.isUsedUp(3_600_000));
});

test('over a longer time, no more than the share is available', () => {
  const allowance = new ProcessingAllowance(options, 0);
  let spentMicroseconds = 0;
  for (let now = 0; now < 10_000; now += 1) {
    if (allowance.isUsedUp(now)) continue;
    allowance.spend(300, now);
    spentMicroseconds += 300;
  }
  const shareMicroseconds = options.share * 10_000_000;
  assert.ok(spentMicroseconds <= shareMicroseconds + options.maximumMicroseconds);
  assert.ok(spentMicroseconds >= 0.9 * shareMicroseconds);
});

test.run();
