import { program } from 'commander';

import { nextInteger, SeededRandomSource } from '@peridotspring/core';

import { AllotmentFleet } from './allotment-fleet.js';
import {
  chooseMachines,
  createSkewedTenants,
  playFaults,
  settledMilliseconds,
  startLoad,
  tolerance,
} from './allotment-scenarios.js';

/** One zone of a large fleet; its zones have brokers of their own and exchange nothing. */
interface FleetSize {
  readonly label: string;
  readonly nodes: number;
  readonly fleetSize?: number;
}

const sizes: readonly FleetSize[] = [
  { label: '58', nodes: 58 },
  { label: '300', nodes: 300 },
  { fleetSize: 27_000, label: '27,000 (one zone of 22)', nodes: 1_227 },
];
const percent = (share: number): string => `${(100 * share).toFixed(2)} %`;

function measure(size: FleetSize, isDelegating: boolean, factor: number, seed: number): void {
  const random = new SeededRandomSource(seed);
  const tenants = createSkewedTenants(71);
  const { fleetSize, nodes } = size;
  const isMeasuringBytes = true;
  const fleet = new AllotmentFleet({
    isDelegating,
    isMeasuringBytes,
    seed,
    size: nodes,
    tenants,
    tolerance,
    zones: fleetSize === undefined ? 4 : 1,
    ...(fleetSize === undefined ? {} : { fleetSize }),
  });
  const movedAt = settledMilliseconds + 15_000;
  const end = movedAt + 15_000;
  const loads = tenants.map((tenant) => ({
    factor: factor * (fleetSize === undefined ? 1 : nodes / fleetSize),
    machines: chooseMachines(tenant, nodes, random),
    tenant,
  }));
  fleet.queue.runUntil(settledMilliseconds - 10_000);
  for (const load of loads) startLoad(fleet, load, random, end);
  fleet.queue.runUntil(settledMilliseconds);
  const bytesBefore = fleet.byteCount;
  const messagesBefore = fleet.messageCount;
  fleet.queue.runUntil(movedAt);
  const perNodeSecond = (nodes * (movedAt - settledMilliseconds)) / 1_000;
  const bytes = (fleet.byteCount - bytesBefore) / perNodeSecond;
  const messages = (fleet.messageCount - messagesBefore) / perNodeSecond;
  for (const load of loads) load.machines = chooseMachines(load.tenant, nodes, random);
  fleet.queue.runUntil(movedAt + 2_000);
  const afterMove = fleet.usage.refusedShare(movedAt, movedAt + 2_000);
  const hot = loads[nextInteger(random, 5)];
  if (hot !== undefined) hot.factor *= 12;
  fleet.queue.runUntil(end);
  console.log(
    `| ${size.label} | ${isDelegating ? 'delegated' : 'equal'} | ${factor} | ${percent(fleet.usage.refusedShare(settledMilliseconds, movedAt))} | ` +
      `${percent(afterMove)} | ${percent(fleet.usage.largestWindow)} | ${bytes.toFixed(0)} | ${messages.toFixed(1)} |`,
  );
}

program
  .option('--seed <number>', 'first seed', '1')
  .option('--faults <count>', 'number of seeds with faults', '0')
  .option('--only <label>', 'only the fleet of this size')
  .option('--load <factor>', 'only this load, relative to the rates')
  .option('--delegated', 'only delegated shares')
  .action(
    (options: {
      seed: string;
      faults: string;
      only?: string;
      load?: string;
      delegated?: boolean;
    }) => {
      const first = Number(options.seed);
      if (Number(options.faults) > 0) {
        let largest = 0;
        let largestSeed = first;
        for (let seed = first; seed < first + Number(options.faults); seed += 1) {
          const used = playFaults(seed);
          if (used > 1) console.log(`seed ${seed}: ${percent(used)} of the bound`);
          if (used <= largest) continue;
          largest = used;
          largestSeed = seed;
        }
        console.log(`largest window: ${percent(largest)} of the bound, seed ${largestSeed}`);
        return;
      }
      console.log(
        '| nodes | shares | load | refused of owed, steady | 2 s after a move | largest window of the bound | bytes/s sent by a node | messages/s |',
      );
      console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
      for (const size of sizes) {
        if (options.only !== undefined && !size.label.startsWith(options.only)) continue;
        const loads = options.load === undefined ? [0.625, 0.95] : [Number(options.load)];
        for (const isDelegating of options.delegated === true ? [true] : [false, true])
          for (const factor of loads) measure(size, isDelegating, factor, first);
      }
    },
  );
program.parse();
