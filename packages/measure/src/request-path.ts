#!/usr/bin/env node
import { loadavg } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { askOperator, ChildProgram, ProcessFleet } from '@peridotspring/stand-ins';
import type { FleetServer, ServerPlan } from '@peridotspring/stand-ins';
import { Command, InvalidArgumentError } from 'commander';

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
  readonly warmUp: number;
  readonly keyed: boolean;
  readonly forwarder: boolean;
  readonly paths: readonly string[];
}

const declareText =
  'begin; declare service provenance request lookup GET "/" idempotent hedging off ramp 0ms; ' +
  'declare service issuance request issue POST "/" non-idempotent ramp 0ms; commit wait up to 20s';
const pathNames = ['own-gate', 'two-nodes'] as const;
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

const program = (path: string): string => fileURLToPath(new URL(path, import.meta.url));

/** The baseline of one more HTTP hop without any decision. */
interface Forwarder {
  readonly address: string;
  readonly process: ChildProgram;
}

/**
 * The upstream of the direct calls and of the forwarder. It has no other load, or the calls through
 * the first daemon would wait behind the direct ones and those through the others would not.
 */
const referencePlan = planOf('r1', 'reference');

async function startForwarder(upstreamAddress: string): Promise<Forwarder> {
  const child = new ChildProgram({
    executableFlags: ['--max-semi-space-size=2'],
    flags: [upstreamAddress],
    name: 'forwarder',
    readyPattern: /event=listening address=(\S+)/,
    script: program('./forwarder.js'),
  });
  const [, address = ''] = await child.ready();
  return { address, process: child };
}

async function startFleet(
  daemonScript: string,
  executableFlags: readonly string[],
  isFirst: boolean,
): Promise<ProcessFleet> {
  const fleet = new ProcessFleet({
    daemonScript,
    executableFlags,
    platformScript: program('../../../stand-ins/dist/src/platform-main.js'),
    upstreamFlags: ['--service-time', 'fixed:2'],
    upstreamScript: program('../../../stand-ins/dist/src/upstream/main.js'),
  });
  await fleet.startPlatform();
  await fleet.startServers(isFirst ? [...plans, referencePlan] : plans);
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

function referenceUpstream([first]: readonly NamedFleet[]): string {
  return first?.fleet.server(referencePlan.server).upstreamAddress ?? '';
}

function variantsOf(
  fleets: readonly NamedFleet[],
  forwarder: Forwarder | undefined,
  { keyed, paths }: Flags,
): VariantOptions[] {
  const variants = [variant('direct', `${referenceUpstream(fleets)}/x`, keyed)];
  if (forwarder !== undefined) {
    variants.push(variant('forwarder', `${forwarder.address}/x`, keyed));
  }
  for (const { fleet, name } of fleets) {
    const at = (server: FleetServer, service: string): string =>
      `127.0.0.1:${server.callerPort}/${service}/x`;
    if (keyed) {
      variants.push(variant(`${name} keyed`, at(fleet.server('p1'), 'issuance'), true));
    } else {
      for (const path of paths) {
        const entry = fleet.server(path === 'own-gate' ? 'p1' : 'i1');
        variants.push(variant(`${name} ${path.replace('-', ' ')}`, at(entry, 'provenance'), false));
      }
    }
  }
  return variants;
}

function processesOf(
  fleets: readonly NamedFleet[],
  forwarder: Forwarder | undefined,
): Record<string, number> {
  const entries = fleets.flatMap(({ fleet, name }) =>
    [...fleet.servers].map(([server, { node }]): [string, number] => [
      `${name} ${server}`,
      node.pid,
    ]),
  );
  if (forwarder !== undefined) entries.push(['forwarder', forwarder.process.pid]);
  return Object.fromEntries(entries);
}

async function run(flags: Flags): Promise<void> {
  const fleets: NamedFleet[] = [];
  let forwarder: Forwarder | undefined;
  try {
    for (const text of flags.daemon) {
      const [name = '', ...rest] = text.split('=');
      const [script = '', ...executableFlags] = rest.join('=').split(',');
      fleets.push({ fleet: await startFleet(script, executableFlags, fleets.length === 0), name });
    }
    if (flags.forwarder) forwarder = await startForwarder(referenceUpstream(fleets));
    await sleep(flags.settle * 1_000);
    const processes = processesOf(fleets, forwarder);
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
        variants: variantsOf(fleets, forwarder, flags),
        warmUpMilliseconds: flags.warmUp * 1_000,
      });
      const load = loadavg()[0]?.toFixed(1) ?? '';
      process.stdout.write(`Load of the machine ${load}.\n\n${renderMarkdown(result)}\n`);
    }
  } finally {
    await Promise.all([forwarder?.process.close(), ...fleets.map(({ fleet }) => fleet.close())]);
  }
}

function collect(value: string, previous: readonly string[]): string[] {
  return [...previous, value];
}

const command = new Command('request-path')
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
  .option('--warm-up <s>', 'load before the recorded time of each rate', Number, 3)
  .option('--keyed', 'measure non-idempotent requests', false)
  .option('--forwarder', 'measure a plain HTTP forwarder as well', false)
  .option('--paths <list>', 'own-gate and two-nodes, separated by commas', parsePaths, [
    ...pathNames,
  ])
  .action(run);

function parsePaths(text: string): string[] {
  const names = text.split(',');
  const unknown = names.find((name) => !pathNames.some((known) => known === name));
  if (unknown !== undefined) {
    throw new InvalidArgumentError(`${unknown} is neither ${pathNames.join(' nor ')}`);
  }
  return names;
}

function parseRates(text: string): number[] {
  return text.split(',').map(Number);
}

await command.parseAsync();
