#!/usr/bin/env node
import { loadavg } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { askOperator, ProcessFleet } from '@peridotspring/stand-ins';
import type { FleetServer, ServerPlan } from '@peridotspring/stand-ins';
import { Command } from 'commander';

import { runExperiment } from './experiment.js';
import type { VariantOptions } from './load-variant.js';
import { renderMarkdown } from './markdown-report.js';
import { readProcessUsage } from './process-usage.js';

interface Flags {
  readonly daemon: readonly string[];
  readonly rate: readonly number[];
  readonly seconds: number;
  readonly settle: number;
  readonly seed: number;
  readonly keyed: boolean;
}

const declareText =
  'begin; declare service provenance request lookup GET "/" idempotent hedging off ramp 0ms; ' +
  'declare service issuance request issue POST "/" non-idempotent ramp 0ms; commit wait up to 20s';
const keyedBodyBytes = 64;
const connections = 256;
const timeoutMilliseconds = 10_000;
const kibibytesPerMebibyte = 1_024;

function planOf(server: string, service: string): ServerPlan {
  const place = { availabilityZone: 'zone', region: 'region' };
  return { ...place, connections: 512, server, service, slots: 200 };
}

/** One server of `provenance`; two of `issuance`, so that keyed requests cross nodes as well. */
const plans = [planOf('p1', 'provenance'), planOf('i1', 'issuance'), planOf('i2', 'issuance')];

async function startFleet(
  daemonScript: string,
  executableFlags: readonly string[],
): Promise<ProcessFleet> {
  const program = (path: string): string => fileURLToPath(new URL(path, import.meta.url));
  const fleet = new ProcessFleet({
    daemonScript,
    executableFlags,
    platformScript: program('../../../stand-ins/dist/src/platform-main.js'),
    upstreamFlags: ['--service-time', 'fixed:2'],
    upstreamScript: program('../../../stand-ins/dist/src/upstream/main.js'),
  });
  await fleet.startPlatform();
  await fleet.startServers(plans);
  const { operatorPort } = fleet.server('p1');
  for (;;) {
    const { body, status } = await askOperator(operatorPort, declareText);
    const { status: result } = body as { readonly status?: string };
    if (status === 200 && (result === 'accepted' || result === 'unchanged')) return fleet;
    await sleep(250);
  }
}

interface NamedFleet {
  readonly name: string;
  readonly fleet: ProcessFleet;
}

function variant(name: string, address: string, keyed: boolean): VariantOptions {
  return {
    body: keyed ? new Uint8Array(keyedBodyBytes).fill(97) : undefined,
    connections,
    headers: {},
    method: keyed ? 'POST' : 'GET',
    name,
    timeoutMilliseconds,
    url: new URL(`http://${address}`),
    withKey: keyed,
  };
}

function variantsOf(fleets: readonly NamedFleet[], keyed: boolean): VariantOptions[] {
  const [first] = fleets;
  const upstream = first?.fleet.server(keyed ? 'i1' : 'p1').upstreamAddress ?? '';
  const variants = [variant('direct', `${upstream}/x`, keyed)];
  for (const { fleet, name } of fleets) {
    const at = (server: FleetServer, service: string): string =>
      `127.0.0.1:${server.callerPort}/${service}/x`;
    if (keyed) {
      variants.push(variant(`${name} keyed`, at(fleet.server('p1'), 'issuance'), true));
    } else {
      variants.push(variant(`${name} own gate`, at(fleet.server('p1'), 'provenance'), false));
      variants.push(variant(`${name} two nodes`, at(fleet.server('i1'), 'provenance'), false));
    }
  }
  return variants;
}

function processesOf(fleets: readonly NamedFleet[]): Record<string, number> {
  const entries = fleets.flatMap(({ fleet, name }) =>
    [...fleet.servers].map(([server, { node }]) => [`${name} ${server}`, node.pid] as const),
  );
  return Object.fromEntries(entries);
}

async function run(flags: Flags): Promise<void> {
  const fleets: NamedFleet[] = [];
  try {
    for (const text of flags.daemon) {
      const [name = '', ...rest] = text.split('=');
      const [script = '', ...executableFlags] = rest.join('=').split(',');
      fleets.push({ fleet: await startFleet(script, executableFlags), name });
    }
    await sleep(flags.settle * 1_000);
    const processes = processesOf(fleets);
    const idle = Object.entries(processes).map(([name, pid]) => {
      const kibibytes = readProcessUsage(pid)?.residentKibibytes ?? 0;
      return `${name} ${(kibibytes / kibibytesPerMebibyte).toFixed(1)}`;
    });
    process.stdout.write(`Idle, MiB: ${idle.join(', ')}.\n\n`);
    for (const ratePerSecond of flags.rate) {
      const result = await runExperiment({
        durationMilliseconds: flags.seconds * 1_000,
        processes,
        ratePerSecond,
        seed: flags.seed,
        variants: variantsOf(fleets, flags.keyed),
        warmUpMilliseconds: 3_000,
      });
      const load = loadavg()[0]?.toFixed(1) ?? '';
      process.stdout.write(`Load of the machine ${load}.\n\n${renderMarkdown(result)}\n`);
    }
  } finally {
    await Promise.all(fleets.map(({ fleet }) => fleet.close()));
  }
}

function collect(value: string, previous: readonly string[]): string[] {
  return [...previous, value];
}

const program = new Command('request-path')
  .description('Measures what nodes add to a call, against the same upstream without a node')
  .requiredOption(
    '--daemon <name=main.js[,flag]>',
    'daemon to measure, with flags of Node.js; may be repeated',
    collect,
    [],
  )
  .option('--rate <list>', 'requests/s to each target, separated by commas', parseRates, [100, 500])
  .option('--seconds <s>', 'recorded time of each rate', Number, 10)
  .option('--settle <s>', 'time between the start and the load', Number, 6)
  .option('--seed <number>', 'seed of the arrival times', Number, 1)
  .option('--keyed', 'measure non-idempotent requests', false)
  .action(run);

function parseRates(text: string): number[] {
  return text.split(',').map(Number);
}

await program.parseAsync();
