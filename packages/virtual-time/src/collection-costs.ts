import {
  emptyConfiguration,
  nextInteger,
  pickRandom,
  SeededRandomSource,
} from '@peridotspring/core';
import { Command } from 'commander';

import { ControlNetwork } from './control-network.js';
import { serviceOf } from './control-scenario.js';
import { formatNumber, formatTable } from './control-statistics.js';

const zones = 22;
const services = 1_300;
/** Without deletion the interval is longer than the run. */
const neverMilliseconds = 1e12;
const intervalMilliseconds = 300_000;
/** A collector claims its role after 15 minutes. */
const claimMilliseconds = 16 * 60_000;
/** Changes before the window, so that records of two passes are on their way to deletion. */
const warmUpSeconds = 10 * 60;
const windowSeconds = 15 * 60;
const settleMilliseconds = 15_000;

interface CollectionCosts {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly deletedPerSecond: number;
  readonly storedKeys: number;
  readonly storedMegabytes: number;
}

/** Counts the store's calls while operators change services; two bridges in each of 22 zones. */
function measureCollection(changesPerSecond: number, interval: number): CollectionCosts {
  const random = new SeededRandomSource(1);
  const network = new ControlNetwork({
    seed: 1,
    tickMilliseconds: 100,
    collectionIntervalMilliseconds: interval,
  });
  for (let index = 0; index < 2 * zones; index += 1) {
    const zone = index % zones;
    network.start(`server-${index}`, `zone-${zone}-hall`, `region-${zone % 6}-west`);
  }
  network.run(settleMilliseconds);
  let proposals = 0;
  const change = (names: readonly string[]): void => {
    const node = pickRandom(random, network.running);
    const base = node?.keeper.inForce ?? emptyConfiguration;
    proposals += 1;
    const changed = names.map((name) => [name, serviceOf(name, proposals)] as const);
    const configuration = {
      ...base,
      services: { ...base.services, ...Object.fromEntries(changed) },
    };
    const changeId = `00000000-0000-7000-8000-${String(proposals).padStart(12, '0')}`;
    const ids = { proposalId: proposals, changeId, baseRevision: base.revision };
    node?.propose({ kind: 'propose-configuration', ...ids, configuration }, network.now);
  };
  change(Array.from({ length: services }, (_, index) => `service-${index}`));
  network.run(claimMilliseconds);
  const changes = Math.round((warmUpSeconds + windowSeconds) * changesPerSecond);
  for (let index = 0; index < changes; index += 1) {
    network.after((index * 1_000) / changesPerSecond, () => {
      change([`service-${nextInteger(random, services)}`]);
    });
  }
  network.run(warmUpSeconds * 1_000);
  const calls = { ...network.store.calls };
  const { deletedKeys } = network.store;
  network.run(windowSeconds * 1_000);
  const { store } = network;
  const keys = store.keys();
  const bytes = keys.reduce(
    (sum, key) => sum + key.length + (store.get(key)?.value.length ?? 0),
    0,
  );
  return {
    readsPerSecond: (store.calls.reads - calls.reads) / windowSeconds,
    writesPerSecond: (store.calls.writes - calls.writes) / windowSeconds,
    deletedPerSecond: (store.deletedKeys - deletedKeys) / windowSeconds,
    storedKeys: keys.length,
    storedMegabytes: bytes / 1e6,
  };
}

interface Options {
  readonly changes: readonly number[];
  readonly deletion: readonly string[];
}

function parseList(text: string): readonly string[] {
  return text.split(',');
}

const program = new Command('collection-costs')
  .description('Counts the calls of the store that the deletion of replaced records takes')
  .option(
    '--changes <list>',
    'changes per second, separated by commas',
    (text: string) => parseList(text).map(Number),
    [0.27, 0.53, 1.06],
  )
  .option('--deletion <list>', 'without (no) or with (yes) deletion', parseList, ['no', 'yes'])
  .parse();

const { changes, deletion } = program.opts<Options>();
const rows = changes.flatMap((changesPerSecond) =>
  deletion.map((label) => {
    const interval = label === 'no' ? neverMilliseconds : intervalMilliseconds;
    const costs = measureCollection(changesPerSecond, interval);
    return [changesPerSecond, label, ...Object.values(costs).map(formatNumber)];
  }),
);
const header = ['changes/s', 'deletion', 'reads/s', 'writes/s', 'deleted keys/s', 'stored keys'];
console.log(formatTable([...header, 'stored MB'], rows));
