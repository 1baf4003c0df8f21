import { Command, InvalidArgumentError } from 'commander';

import { measureMemberHeap } from './control-memory.js';
import { measureControl, type ControlCosts, type ControlScenario } from './control-scenario.js';
import { fitLine, formatNumber, formatTable } from './control-statistics.js';

/** Restarts and configuration changes per second that the design has to carry in two years. */
const targetRestarts = 0.1;
const targetChanges = 0.53;

interface Options {
  readonly seed: number;
  readonly window: number;
  readonly members: readonly number[];
  readonly only: string | undefined;
}

interface Series {
  readonly title: string;
  readonly variable: string;
  readonly values: readonly number[];
  readonly scenario: (value: number) => Partial<ControlScenario>;
}

const columns: readonly (readonly [name: string, value: (costs: ControlCosts) => number])[] = [
  ['bytes/s per node', (costs) => costs.bytesPerSecond],
  ['bytes/s per bridge', (costs) => costs.bridgeBytesPerSecond],
  ['frames/s per node', (costs) => costs.framesPerSecond],
  ['processor ms/s per node', (costs) => costs.processorMilliseconds],
  ['platform calls/s', (costs) => costs.platformCallsPerSecond],
  ['revision everywhere ms', (costs) => costs.revisionMilliseconds],
  ['draining everywhere ms', (costs) => costs.drainMilliseconds],
];

function parseInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected an integer of at least 1');
  }
  return value;
}

function seriesOf(options: Options): readonly Series[] {
  return [
    {
      title: `Members (3 zones, 100 services, ${targetRestarts} restarts/s, ${targetChanges} changes/s)`,
      variable: 'members',
      values: options.members,
      scenario: (members) => ({ members }),
    },
    {
      title: 'Availability zones (440 members)',
      variable: 'zones',
      values: [2, 6, 11, 22],
      scenario: (zones) => ({ zones, members: 440 }),
    },
    {
      title: 'Restarts per second (400 members, no changes)',
      variable: 'restarts/s',
      values: [0, 0.1, 0.2, 0.4],
      scenario: (restartsPerSecond) => ({ restartsPerSecond, changesPerSecond: 0 }),
    },
    {
      title: 'Configuration changes per second (400 members, no restarts)',
      variable: 'changes/s',
      values: [0, 0.27, 0.53, 1.06],
      scenario: (changesPerSecond) => ({ restartsPerSecond: 0, changesPerSecond }),
    },
    {
      title: `Services (400 members, ${targetChanges} changes/s, no restarts)`,
      variable: 'services',
      values: [100, 400, 1_300],
      scenario: (services) => ({ services, restartsPerSecond: 0 }),
    },
  ];
}

function runSeries(series: Series, options: Options): string {
  const usual: ControlScenario = {
    seed: options.seed,
    members: 400,
    zones: 3,
    services: 100,
    restartsPerSecond: targetRestarts,
    changesPerSecond: targetChanges,
    windowSeconds: options.window,
  };
  const measured = series.values.map((value) => {
    return [value, measureControl({ ...usual, ...series.scenario(value) })] as const;
  });
  const rows = measured.map(([value, costs]) => {
    return [value, ...columns.map(([, read]) => formatNumber(read(costs)))];
  });
  const slopes = columns.map(([, read]) => {
    return formatNumber(fitLine(measured.map(([value, costs]) => [value, read(costs)])).slope);
  });
  const header = [series.variable, ...columns.map(([name]) => name)];
  const lines = [`## ${series.title}`, '', formatTable(header, [...rows, ['slope', ...slopes]])];
  if (series.variable === 'members') {
    const doublings = columns.map(([, read]) => {
      const points = measured.map(([value, costs]) => [Math.log2(value), read(costs)] as const);
      return formatNumber(fitLine(points).slope);
    });
    lines.push('', formatTable(header, [['per doubling', ...doublings]]));
  }
  return lines.join('\n');
}

function runMemory(): string {
  const sizes = [1_000, 4_000, 16_000, 27_000];
  // The first call also pays for code that is compiled only once.
  measureMemberHeap(1_000);
  const measured = sizes.map((members) => [members, measureMemberHeap(members)] as const);
  const rows = measured.map(([members, bytes]) => {
    return [members, formatNumber(bytes / 1_048_576), formatNumber(bytes / members)];
  });
  const { slope } = fitLine(measured);
  return [
    '## Heap of one node for its members',
    '',
    formatTable(
      ['members', 'MiB', 'bytes per member'],
      [...rows, ['slope', '', formatNumber(slope)]],
    ),
  ].join('\n');
}

const program = new Command('control-slopes')
  .description('Measures what membership and configuration cost each node, in virtual time')
  .option('--seed <number>', 'seed of every run', parseInteger, 1)
  .option('--window <seconds>', 'measured virtual time of each run', parseInteger, 60)
  .option(
    '--members <list>',
    'sizes of the membership, separated by commas',
    (text: string) => text.split(',').map(parseInteger),
    [100, 400, 1_600],
  )
  .option(
    '--only <variable>',
    'measure one table: heap, members, zones, restarts/s, changes/s, services',
  )
  .parse();

const options = program.opts<Options>();
const isAsked = (variable: string): boolean => (options.only ?? variable) === variable;
if (isAsked('heap')) console.log(runMemory());
for (const series of seriesOf(options)) {
  if (isAsked(series.variable)) console.log(`\n${runSeries(series, options)}`);
}
