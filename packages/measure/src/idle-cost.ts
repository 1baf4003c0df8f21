#!/usr/bin/env node
import { loadavg } from 'node:os';
import { resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  askOperator,
  chMittelland,
  prairieWest,
  ProcessFleet,
  serversOf,
} from '@peridotspring/stand-ins';
import { Command } from 'commander';

import { readProcessUsage, readUnsharedKibibytes } from './process-usage.js';

interface Flags {
  readonly build: readonly string[];
  readonly seconds: number;
  readonly windows: number;
  readonly settle: number;
}

interface NamedFleet {
  readonly name: string;
  readonly fleet: ProcessFleet;
}

const kibibytesPerMebibyte = 1_024;
const deployments = [prairieWest, chMittelland];

async function declareServices(fleet: ProcessFleet): Promise<void> {
  const declarations = deployments.flatMap(({ services }) =>
    services.map(({ declaration }) => declaration),
  );
  const text = `begin; ${declarations.join('; ')}; commit wait up to 30s`;
  const { operatorPort } = fleet.server('provenance-1');
  for (;;) {
    const { status } = await askOperator(operatorPort, text);
    if (status === 200) return;
    await sleep(250);
  }
}

/** Creates the fleet of the demo with the programs of one build, its stand-ins included. */
function createFleet(root: string, executableFlags: readonly string[]): ProcessFleet {
  const program = (path: string): string => resolve(root, 'packages', path);
  return new ProcessFleet({
    daemonScript: program('daemon/dist/src/main.js'),
    ...(executableFlags.length > 0 ? { executableFlags } : {}),
    platformScript: program('stand-ins/dist/src/platform-main.js'),
    upstreamFlags: ['--service-time', 'exponential:5'],
    upstreamScript: program('stand-ins/dist/src/upstream/main.js'),
  });
}

async function startFleet(fleet: ProcessFleet): Promise<void> {
  await fleet.startPlatform();
  await fleet.startServers(deployments.flatMap((deployment) => serversOf(deployment)));
  await declareServices(fleet);
}

function processorSeconds({ fleet }: NamedFleet): number[] {
  return [...fleet.servers.values()].map(
    ({ node }) => readProcessUsage(node.pid)?.processorSeconds ?? 0,
  );
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function memoryRow({ fleet, name }: NamedFleet): string {
  const processes = [...fleet.servers.values()].map(({ node }) => node.pid);
  const resident = processes.map((pid) => readProcessUsage(pid)?.residentKibibytes ?? 0);
  const unshared = processes.map((pid) => readUnsharedKibibytes(pid) ?? 0);
  const cells = [median(resident), Math.max(...resident), median(unshared)].map((value) =>
    (value / kibibytesPerMebibyte).toFixed(1),
  );
  return `| ${name} | ${cells.join(' | ')} |`;
}

/** All builds in the same window, so that other work on the machine affects them alike. */
async function measureWindow(fleets: readonly NamedFleet[], seconds: number): Promise<string> {
  const before = fleets.map(processorSeconds);
  const startedAt = performance.now();
  await sleep(seconds * 1_000);
  const elapsed = (performance.now() - startedAt) / 1_000;
  const lines = fleets.map((named, index) => {
    const after = processorSeconds(named);
    const shares = after.map((used, node) => (used - (before[index]?.[node] ?? 0)) / elapsed);
    const cells = [median(shares), Math.min(...shares), Math.max(...shares)].map((share) =>
      share.toFixed(4),
    );
    return `| ${named.name} | ${cells.join(' | ')} |`;
  });
  const load = loadavg()[0]?.toFixed(1) ?? '';
  const head = '| build | median share of a core | smallest | largest |\n| --- | --- | --- | --- |';
  return `${seconds} s, load of the machine ${load}.\n\n${head}\n${lines.join('\n')}\n\n`;
}

async function run(flags: Flags): Promise<void> {
  const fleets: NamedFleet[] = flags.build.map((text) => {
    const [name = '', ...rest] = text.split('=');
    const [root = '', ...executableFlags] = rest.join('=').split(',');
    return { fleet: createFleet(root, executableFlags), name };
  });
  // An interrupted measurement would leave its programs running.
  const stop = (): void => {
    void Promise.all(fleets.map(({ fleet }) => fleet.close())).then(() => process.exit(1));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  try {
    for (const { fleet } of fleets) await startFleet(fleet);
    await sleep(flags.settle * 1_000);
    for (let window = 0; window < flags.windows; window += 1) {
      process.stdout.write(await measureWindow(fleets, flags.seconds));
    }
    const head =
      '| build | median MiB resident | largest | median MiB not shared |\n| --- | --- | --- | --- |';
    process.stdout.write(`${head}\n${fleets.map(memoryRow).join('\n')}\n`);
  } finally {
    await Promise.all(fleets.map(({ fleet }) => fleet.close()));
  }
}

function collect(value: string, previous: readonly string[]): string[] {
  return [...previous, value];
}

await new Command('idle-cost')
  .description('Measures processor time and memory of the nodes of an idle demo, by build')
  .requiredOption(
    '--build <name=root[,flag]>',
    'repository root of a build, with flags of Node.js; may be repeated',
    collect,
    [],
  )
  .option('--seconds <s>', 'length of a window', Number, 30)
  .option('--windows <count>', 'windows to measure', Number, 1)
  .option('--settle <s>', 'time between the start and the first window', Number, 20)
  .action(run)
  .parseAsync();
