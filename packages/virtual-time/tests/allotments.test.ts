import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AllotmentFleet } from '../src/allotment-fleet.js';
import {
  chooseMachines,
  createSkewedTenants,
  createTenant,
  playFaults,
  settledMilliseconds,
  startLoad,
  tolerance,
} from '../src/allotment-scenarios.js';

const seedCount = 24;
const size = 58;

// More seeds: npm run -s allotment-tables -- --faults 200 (in packages/virtual-time)
test('no window exceeds its bound under cuts, partitions, kills, freezes and joins', () => {
  for (let seed = 1; seed <= seedCount; seed += 1) {
    const used = playFaults(seed);
    assert.ok(used <= 1, `seed ${seed}: ${used}`);
  }
});

test('requests below the limit are served in steady state and after demand has moved', () => {
  const random = new SeededRandomSource(1);
  const tenants = createSkewedTenants(71);
  const isMeasuringBytes = true;
  const fleet = new AllotmentFleet({
    isMeasuringBytes,
    seed: 1,
    size,
    tenants,
    tolerance,
    zones: 4,
  });
  const movedAt = settledMilliseconds + 5_000;
  const loads = tenants.map((tenant) => {
    const machines = chooseMachines(tenant, size, random);
    return { factor: 0.625, machines, tenant };
  });
  fleet.queue.runUntil(settledMilliseconds - 5_000);
  for (const load of loads) startLoad(fleet, load, random, movedAt + 2_000);
  fleet.queue.runUntil(settledMilliseconds);
  const bytesBefore = fleet.byteCount;
  fleet.queue.runUntil(movedAt);
  const bytesPerNodeSecond = (fleet.byteCount - bytesBefore) / size / 5;
  for (const load of loads) load.machines = chooseMachines(load.tenant, size, random);
  fleet.queue.runUntil(movedAt + 2_000);
  const steadyShare = fleet.usage.refusedShare(settledMilliseconds, movedAt);
  assert.ok(steadyShare < 0.01, `${steadyShare} in steady state`);
  const movedShare = fleet.usage.refusedShare(movedAt, movedAt + 2_000);
  assert.ok(movedShare < 0.05, `${movedShare} after the move`);
  assert.ok(bytesPerNodeSecond < 1_000, `${bytesPerNodeSecond} bytes a second`);
});

// Without the others, a node has only its own part, so that the sum holds.
test('a node that is cut off grants its own part of a large allotment and no more', () => {
  const tenant = createTenant(0, 186);
  const isMeasuringBytes = false;
  const fleet = new AllotmentFleet({
    isMeasuringBytes,
    seed: 1,
    size: 10,
    tenants: [tenant],
    tolerance,
    zones: 2,
  });
  const [machine] = fleet.machines;
  assert.ok(machine);
  fleet.queue.runUntil(settledMilliseconds);
  fleet.cut(machine, 30_000);
  fleet.queue.runUntil(settledMilliseconds + 10_000);
  const load = { factor: 1, machines: [0], tenant };
  startLoad(fleet, load, new SeededRandomSource(1), settledMilliseconds + 20_000);
  fleet.queue.runUntil(settledMilliseconds + 20_000);
  const refused = fleet.usage.refusedShare(
    settledMilliseconds + 10_000,
    settledMilliseconds + 20_000,
  );
  assert.ok(refused > 0.8 && refused < 0.92, `${refused} refused`);
});

test.run();
