import { program } from 'commander';

import { proposeChange } from './fleet-changes.js';
import { checkAlways } from './fleet-checks.js';
import type { FaultKind } from './fleet-faults.js';
import type { RequestEntry } from './fleet-log.js';
import { FleetRun } from './fleet-run.js';

const faultMilliseconds = 20_000;
const observedMilliseconds = 30_000;
const service = 'issuance';
const load = { abandonedShare: 0, doubledShare: 0, entryAgeMilliseconds: 2_000, keyedShare: 1 };

interface Outage {
  readonly kind: FaultKind;
  readonly label: string;
}

const outages: readonly Outage[] = [
  { kind: 'crash', label: 'home crashes (process)' },
  { kind: 'machine-lost', label: 'home lost with its machine' },
  { kind: 'freeze', label: 'home frozen' },
  { kind: 'cut-server', label: 'home cut off from all nodes' },
  { kind: 'store-down', label: 'platform down' },
];

/** Median and highest of some figures. */
function summary(figures: readonly number[]): string {
  const sorted = [...figures].sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return `${Math.round(median)} / ${Math.round(sorted.at(-1) ?? 0)}`;
}

/** A key from the future is refused whatever happens, so it says nothing of the fault. */
function isServed({ answers }: RequestEntry): boolean {
  const outcome = answers[0]?.outcome;
  if (outcome?.kind === 'refused-not-run') return outcome.reason === 'key-from-future';
  return outcome?.kind === 'answered';
}

interface Range {
  readonly index: number;
  readonly requests: readonly RequestEntry[];
}

/** First attempts with new keys after the fault, through nodes that it does not hit, by range. */
function requestsByRange(run: FleetRun, hit: string | undefined, from: number): Range[] {
  const { fleet } = run;
  const homes = fleet.running[0]?.core.subsystems.homes;
  const seen = new Set<string>();
  const byRange = new Map<number, RequestEntry[]>();
  for (const request of fleet.log.requests) {
    const { entry, key, sentAt } = request;
    if (key === undefined || request.service !== service || seen.has(key)) continue;
    seen.add(key);
    if (entry === hit || sentAt < from || homes === undefined) continue;
    const range = homes.rangeOf(key);
    byRange.set(range, [...(byRange.get(range) ?? []), request]);
  }
  return [...byRange].map(([index, requests]) => ({ index, requests }));
}

interface Unserved {
  /** For each range of the hit home, time from the fault to the last new key that got no answer. */
  readonly milliseconds: number[];
  /** Share of the new keys of other ranges that got no answer. */
  readonly otherShare: number;
  readonly violations: number;
}

function measureOutage(kind: FaultKind, seed: number): Unserved {
  const run = new FleetRun({ load: { ...load, intervalMilliseconds: 8, seed }, seed });
  const { fleet } = run;
  fleet.run(20_000);
  const table = fleet.running[0]?.core.subsystems.homes.table(service);
  const home = table?.ranges[0]?.server ?? '';
  const index = fleet.servers.findIndex(({ server }) => server === home);
  const hit = kind === 'store-down' ? undefined : home;
  const from = fleet.now;
  run.faults.inject({ durationMilliseconds: faultMilliseconds, index, kind, waitMilliseconds: 0 });
  fleet.run(observedMilliseconds);
  run.settle();
  const milliseconds: number[] = [];
  let others = 0;
  let unserved = 0;
  for (const { index: range, requests } of requestsByRange(run, hit, from)) {
    const missed = requests.filter((request) => !isServed(request));
    if (table?.ranges[range]?.server === hit) {
      // The return of the server is another matter; only the time until then counts.
      const last = missed.filter(({ sentAt }) => sentAt < from + faultMilliseconds).at(-1);
      milliseconds.push(last === undefined ? 0 : last.sentAt - from);
    } else {
      others += requests.length;
      unserved += missed.length;
    }
  }
  const violations = checkAlways(fleet.log, fleet.now).length;
  return { milliseconds, otherShare: unserved / Math.max(1, others), violations };
}

function measureOutages(seeds: readonly number[]): void {
  console.log(
    '| Fault (20 s) | Ranges of the home: not served, median / longest (ms) | Other keys |',
  );
  console.log('| --- | --- | --- |');
  for (const { kind, label } of outages) {
    const runs = seeds.map((seed) => measureOutage(kind, seed));
    const times = runs.flatMap(({ milliseconds }) => milliseconds);
    const share = Math.max(...runs.map(({ otherShare }) => otherShare));
    const violations = runs.reduce((sum, run) => sum + run.violations, 0);
    const felt = times.length === 0 ? 'none' : summary(times);
    const others = `at most ${(100 * share).toFixed(2)} % without an answer`;
    console.log(`| ${label} | ${felt} | ${others}; ${violations} violations |`);
  }
}

/** Times until nodes follow a change by an operator, and until nothing starts on a drained server. */
function measureChange(seed: number): { readonly inForce: number; readonly drained: number } {
  const run = new FleetRun({
    load: { keyedShare: 0.5, intervalMilliseconds: 8, seed, streamedShare: 0 },
    seed,
  });
  const { fleet } = run;
  const [node] = fleet.running;
  if (node === undefined) return { drained: 0, inForce: 0 };
  const server = 'server-2';
  const change = proposeChange(fleet, node, [service], { drainedServers: [server] });
  const proposedAt = fleet.now;
  fleet.run(15_000);
  const { result } = change;
  const revision = result?.kind === 'accepted' ? result.revision : Infinity;
  const known = fleet.log.inForce.filter(({ configuration }) => configuration.revision >= revision);
  const times = known.map(({ at }) => at - (change.concludedAt ?? proposedAt));
  const last = fleet.log.executions.filter((execution) => execution.server === server).at(-1);
  const isEverywhere = new Set(known.map((entry) => entry.server)).size === fleet.servers.length;
  return {
    drained: (last?.startedAt ?? proposedAt) - proposedAt,
    inForce: isEverywhere ? Math.max(0, ...times) : Infinity,
  };
}

function measureDrain(seed: number): { readonly started: number; readonly known: number } {
  const run = new FleetRun({
    load: { keyedShare: 0.5, intervalMilliseconds: 8, seed, streamedShare: 0 },
    seed,
  });
  const { fleet } = run;
  const from = fleet.now;
  let known = Infinity;
  fleet.upstreams.get('server-2')?.setDraining(true);
  for (let passed = 0; passed < 10_000 && known === Infinity; passed += 5) {
    fleet.run(5);
    const states = fleet.running.map(
      ({ core }) => core.subsystems.membership.member('server-2')?.state,
    );
    if (states.every((state) => state === 'draining')) known = fleet.now - from;
  }
  fleet.run(5_000);
  const last = fleet.log.executions.filter(({ server }) => server === 'server-2').at(-1);
  return { known, started: Math.max(0, (last?.startedAt ?? from) - from) };
}

program
  .description('Measures in virtual time what faults, drains and changes cost callers')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds', '3');
program.parse();
const options = program.opts<{ readonly seed: string; readonly seeds: string }>();
const seeds = Array.from(
  { length: Number(options.seeds) },
  (_, index) => Number(options.seed) + index,
);
measureOutages(seeds);
const changes = seeds.map((seed) => measureChange(seed));
const drains = seeds.map((seed) => measureDrain(seed));
console.log('\n| What | Median / longest (ms) |');
console.log('| --- | --- |');
console.log(
  `| upstream drains: last start at its gate | ${summary(drains.map((d) => d.started))} |`,
);
console.log(`| upstream drains: known to every node | ${summary(drains.map((d) => d.known))} |`);
console.log(`| operator drains a server: last start | ${summary(changes.map((c) => c.drained))} |`);
console.log(`| accepted change: in force everywhere | ${summary(changes.map((c) => c.inForce))} |`);
