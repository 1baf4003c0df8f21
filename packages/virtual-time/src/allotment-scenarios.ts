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

/** Plays faults of all kinds while each tenant asks for more than its limit. Returns the share of the bound that was used. */
export function playFaults(seed: number): number {
  const random = new SeededRandomSource(seed);
  const size = 4 + nextInteger(random, 20);
  const tenants = [createTenant(0, 186), createTenant(1, 20), createTenant(2, 3)];
  const fleet = new AllotmentFleet({
    isMeasuringBytes: false,
    seed,
    size,
    tenants,
    tolerance,
    zones: 3,
  });
  const end = 45_000;
  for (const tenant of tenants) {
    const machines = Array.from({ length: size + 3 }, (_, index) => index);
    const load = { factor: 1 + random.next() * 2, machines, tenant };
    startLoad(fleet, load, random, end);
    scheduleLoadChanges(fleet, load, size, random);
  }
  for (let time = 3_000; time < end; time += 400 + random.next() * 3_000)
    fleet.queue.after(time, () => {
      injectFault(fleet, random);
    });
  fleet.queue.runUntil(end);
  return fleet.usage.largestWindow;
}

/** Bursts, pauses and moves to other places, at random times. */
function scheduleLoadChanges(
  fleet: AllotmentFleet,
  load: CallerLoad,
  size: number,
  random: SeededRandomSource,
): void {
  fleet.queue.after(500 + random.next() * 5_000, () => {
    load.factor = pickRandom(random, [0.2, 1, 2, 7.5]) ?? 1;
    load.machines = Array.from({ length: 1 + nextInteger(random, size) }, () =>
      nextInteger(random, size),
    );
    scheduleLoadChanges(fleet, load, size, random);
  });
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
      for (const other of fleet.machines)
        if (other.zone === target.zone) fleet.cut(other, milliseconds);
      return;
    default:
      if (fleet.machines.length < 30) fleet.startProcess(fleet.addMachine());
  }
}
