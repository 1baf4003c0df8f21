import { nextInteger, pickRandom, SeededRandomSource } from '@peridotspring/core';
import type { AllotmentTolerance, Tenant } from '@peridotspring/mesh-core';

import { AllotmentFleet } from './allotment-fleet.js';

export const tolerance: AllotmentTolerance = {
  overage: 0.1,
  slack: 20,
  windowMilliseconds: 5_000,
};
/** Nodes own shares, and have chosen brokers, by this time. */
export const settledMilliseconds = 20_000;
/** A round of faults: each has some of them, a burst, and time for the buckets to fill. */
const roundCount = 4;
const roundMilliseconds = 18_000;
const faultRangeMilliseconds = 5_000;
const burstMilliseconds = 5_500;
const quietFactor = 0.3;
const millisecondsPerSecond = 1_000;

export function createTenant(index: number, requestsPerSecond: number): Tenant {
  return {
    allotment: { burst: requestsPerSecond, requestsPerSecond },
    apiKeys: [],
    name: `tenant-${index}`,
  };
}

/** Tenants whose rates fall from 186 to 3 requests a second, like those of a platform with a few large customers. */
export function createSkewedTenants(count: number): readonly Tenant[] {
  return Array.from({ length: count }, (_, index) =>
    createTenant(index, Math.max(3, Math.round(186 / (index + 1) ** 1.05))),
  );
}

export interface CallerLoad {
  readonly tenant: Tenant;
  /** Requests relative to the tenant's rate. */
  factor: number;
  /** Places at which its callers send requests. */
  machines: readonly number[];
}

/** Sends the requests of a load, at random times, until the end. */
export function startLoad(
  fleet: AllotmentFleet,
  load: CallerLoad,
  random: SeededRandomSource,
  end: number,
): void {
  const sendNext = (): void => {
    const rate = (load.tenant.allotment.requestsPerSecond * load.factor) / millisecondsPerSecond;
    const delay = -Math.log(1 - random.next()) / rate;
    fleet.queue.after(delay, () => {
      if (fleet.queue.now.monotonic > end) return;
      const index = pickRandom(random, load.machines) ?? 0;
      const machine = fleet.machines[index];
      if (machine !== undefined) fleet.request(machine, load.tenant.name);
      sendNext();
    });
  };
  sendNext();
}

/** Chooses as many places as the tenant has callers; a caller makes about two requests a second. */
export function chooseMachines(
  tenant: Tenant,
  size: number,
  random: SeededRandomSource,
): readonly number[] {
  const callers = Math.max(1, Math.round(tenant.allotment.requestsPerSecond / 2));
  return Array.from({ length: callers }, () => nextInteger(random, size));
}

/**
 * Plays faults of all kinds. Between them tenants ask for little, so that all buckets are full when many times the limit is asked
 * for everywhere. Returns the share of the bound that was used.
 */
export function playFaults(seed: number): number {
  const random = new SeededRandomSource(seed);
  const size = 3 + nextInteger(random, 20);
  const tenants = [createTenant(0, 186), createTenant(1, 20), createTenant(2, 3)];
  const isMeasuringBytes = false;
  const fleet = new AllotmentFleet({ isMeasuringBytes, seed, size, tenants, tolerance, zones: 3 });
  const machines = Array.from({ length: size + 5 }, (_, index) => index);
  const loads = tenants.map((tenant) => ({ factor: quietFactor, machines, tenant }));
  const end = settledMilliseconds + roundCount * roundMilliseconds;
  for (const load of loads) startLoad(fleet, load, random, end);
  for (let round = 0; round < roundCount; round += 1) {
    const startsAt = settledMilliseconds + round * roundMilliseconds;
    for (let fault = nextInteger(random, 5); fault >= 0; fault -= 1)
      fleet.queue.after(startsAt + random.next() * faultRangeMilliseconds, () => {
        injectFault(fleet, random);
      });
    const burstAt = startsAt + random.next() * faultRangeMilliseconds;
    fleet.queue.after(burstAt, () => {
      for (const load of loads) load.factor = 1 + random.next() * 7;
    });
    fleet.queue.after(burstAt + burstMilliseconds, () => {
      for (const load of loads) load.factor = quietFactor;
    });
  }
  fleet.queue.runUntil(end);
  return fleet.usage.largestWindow;
}

function injectFault(fleet: AllotmentFleet, random: SeededRandomSource): void {
  const machine = pickRandom(random, fleet.machines);
  if (machine?.process === undefined) return;
  // Half of the faults hit a broker.
  const brokers = machine.process.brokers.flat();
  const name = random.next() < 0.5 ? pickRandom(random, brokers) : machine.name;
  const target = fleet.machines.find((candidate) => candidate.name === name) ?? machine;
  const milliseconds = 100 + random.next() * 6_000;
  switch (nextInteger(random, 5)) {
    case 0:
      fleet.cut(target, milliseconds);
      return;
    case 1:
      fleet.freeze(target, milliseconds);
      return;
    case 2:
      fleet.kill(target);
      fleet.queue.after(milliseconds / 2, () => {
        fleet.startProcess(target);
      });
      return;
    case 3:
      fleet.partition(target.zone, milliseconds);
      return;
    default:
      if (fleet.machines.length < 30) fleet.startProcess(fleet.addMachine());
  }
}
