import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EntryClock } from '../../src/entry/entry-clock.js';

const epoch = 1_800_000_000_000;

function at(monotonic: number): { readonly monotonic: number; readonly wall: number } {
  return { monotonic, wall: epoch + monotonic };
}

function clockAfterTicks(...times: readonly number[]): EntryClock {
  const clock = new EntryClock();
  for (const time of times) {
    clock.tick(at(time));
  }
  return clock;
}

const cases: readonly (readonly [
  name: string,
  ticks: readonly number[],
  read: number,
  dated: number,
])[] = [
  ['a request is dated to now in normal operation', [0, 10, 20], 25, 25],
  ['a request read before the first tick after a pause is dated to its start', [0, 10], 9_000, 10],
  ['a request read after that tick is dated to the start of the pause', [0, 10, 9_000], 9_005, 10],
  ['a second pause within the backlog keeps the first start', [0, 10, 9_000, 10_000], 10_001, 10],
  [
    'after the backlog requests are dated to now again',
    [0, 10, 9_000, 9_050, 9_100],
    11_050,
    9_100,
  ],
];

// Guards against running a request that waited in a socket while its entry was paused, after another
// node refused its key in the meantime.
for (const [name, ticks, read, dated] of cases) {
  test(name, () => {
    assert.is(clockAfterTicks(...ticks).arrivalTime(at(read)), epoch + dated);
  });
}

test('ticks without a gap end the backlog', () => {
  const clock = clockAfterTicks(0, 10, 9_000);
  for (let time = 9_010; time <= 11_500; time += 10) {
    clock.tick(at(time));
  }
  assert.is(clock.arrivalTime(at(11_505)), epoch + 11_505);
});

test.run();
