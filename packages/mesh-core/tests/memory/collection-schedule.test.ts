import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CollectionSchedule } from '../../src/index.js';

const mebibyte = 1_048_576;

// Guards against collections that take the processor of calm processes, and against none at all in a crowd.
test('garbage is collected after many released bytes, in a process that takes much of its memory, and not too often', () => {
  let residentBytes = 60 * mebibyte;
  const schedule = new CollectionSchedule({
    limitBytes: 250 * mebibyte,
    residentBytes: () => residentBytes,
  });
  assert.not.ok(schedule.onReleased(40 * mebibyte, 1_000), 'the process is calm');
  residentBytes = 130 * mebibyte;
  assert.not.ok(schedule.onReleased(10 * mebibyte, 1_000));
  assert.ok(schedule.onReleased(10 * mebibyte, 1_000));
  assert.not.ok(schedule.onReleased(20 * mebibyte, 1_100), 'the last collection is recent');
  assert.ok(schedule.onReleased(20 * mebibyte, 1_300));
  residentBytes = 160 * mebibyte;
  assert.ok(schedule.onReleased(20 * mebibyte, 1_310), 'memory is short');
});

test.run();
