import { RequestClass } from '@peridotspring/core';
import type { Deployment } from './deployment.js';
import { RunResult } from './run-result.js';
import type { ClassResult } from './run-result.js';
import type { Scenario } from './scenario.js';
import { Simulation } from './simulation.js';
import type { Variant } from './variant.js';

const quantiles = [0.5, 0.99, 0.999];
const header = [
  'scenario',
  'variant',
  'p50 ms',
  'p99 ms',
  'p99.9 ms',
  'refused',
  'wrong refusals',
  'unknown',
  'polls of slot-time',
  'attempts started',
];

/** Results by scenario and then by variant, in the order of the rows. */
export type TableResults = ReadonlyMap<string, ReadonlyMap<string, RunResult>>;

/** Runs a variant with each seed and counts the results together. */
export function runSeeds(
  deployment: Deployment,
  scenario: Scenario,
  variant: Variant,
  seeds: readonly number[],
): RunResult {
  const result = new RunResult();
  for (const seed of seeds) result.add(new Simulation(deployment, scenario, variant, seed).run());
  return result;
}

/** One table for each class of requests: a row for each scenario and variant. */
export function renderTables(deployment: string, results: TableResults): string {
  return Object.values(RequestClass)
    .map((requestClass) => {
      const rows = [...results].flatMap(([scenario, variants]) =>
        [...variants].map(([variant, result]) => row(scenario, variant, result, requestClass)),
      );
      const title = `#### ${deployment}, ${requestClass}`;
      return [title, '', line(header), line(header.map(() => '---')), ...rows, ''].join('\n');
    })
    .join('\n');
}

function row(
  scenario: string,
  variant: string,
  result: RunResult,
  requestClass: RequestClass,
): string {
  const counted = result.classes[requestClass];
  const latencies = counted.quantiles(quantiles).map((latency) => latency.toFixed(1));
  return line([
    scenario,
    variant,
    ...latencies,
    share(counted.refused, counted),
    share(counted.wronglyRefused, counted),
    share(counted.unknown, counted),
    percent(result.pollSlotMilliseconds, result.slotMilliseconds),
    String(result.started),
  ]);
}

function share(count: number, result: ClassResult): string {
  return percent(count, result.calls);
}

function percent(part: number, whole: number): string {
  return `${((100 * part) / Math.max(1, whole)).toFixed(2)} %`;
}

function line(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}
