import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SeededRandomSource } from '@peridotspring/core';

import { FaultSwitch } from '../../src/upstream/fault-switch.js';
import { ReportedLoad } from '../../src/upstream/reported-load.js';
import { drawServiceTime } from '../../src/upstream/service-time.js';
import { SlotPool } from '../../src/upstream/slot-pool.js';

test('exponential service times have their mean and repeat with their seed', () => {
  const draw = (seed: number): number[] => {
    const random = new SeededRandomSource(seed);
    const serviceTime = { kind: 'exponential', meanMilliseconds: 20 } as const;
    return Array.from({ length: 5_000 }, () => drawServiceTime(serviceTime, random));
  };
  assert.equal(draw(5), draw(5));
  const mean = draw(5).reduce((sum, value) => sum + value, 0) / 5_000;
  assert.ok(mean > 19 && mean < 21, `mean ${mean}`);
});

test('a cold start slows requests down at first and wears off, on top of the slow factor', () => {
  const faults = new FaultSwitch();
  faults.change({ coldStart: { factor: 5, milliseconds: 1_000 }, slowFactor: 2 }, 10_000);
  assert.equal(
    [10_000, 10_500, 11_000].map((time) => faults.slowdown(time)),
    [10, 6, 2],
  );
});

test('a lagging load endpoint tells what was true, a lying one what it was told to', () => {
  const load = new ReportedLoad();
  load.changed(1, 100);
  load.changed(7, 200);
  assert.is(load.inFlight({ kind: 'lagging', milliseconds: 50 }, 7, 200), 1);
  assert.is(load.inFlight({ kind: 'lagging', milliseconds: 50 }, 7, 250), 7);
  assert.is(load.inFlight({ inFlight: 3, kind: 'lying' }, 7, 250), 3);
  assert.is(load.inFlight({ kind: 'honest' }, 7, 250), 7);
});

test('a slot goes to the first that still waits, and a withdrawn request takes none', async () => {
  const pool = new SlotPool(1);
  const stays = new AbortController().signal;
  const leaves = new AbortController();
  assert.ok(await pool.take(stays));
  const withdrawn = pool.take(leaves.signal);
  const next = pool.take(stays);
  leaves.abort();
  assert.not(await withdrawn);
  pool.release();
  assert.ok(await next);
  pool.release();
  assert.equal([pool.inUse, pool.queued], [0, 0]);
});

test.run();
