import { RequestClass } from '@peridotspring/core';
import type { Deployment } from './deployment.js';
import { RunResult } from './run-result.js';
import type { ClassResult } from './run-result.js';
import type { Scenario } from './scenario.js';
import { Simulation } from './simulation.js';
import type { Variant } from './variant.js';

const quantiles = [0.5, 0.99, 0.999];
const header = [
  'p50 ms',
  'p99 ms',
  'p99.9 ms',
  'refused',
  'wrong refusals',
  'unknown',
  'polls of slot-time',
];

/** Runs a variant on the same seeds as every other one. */
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

/** One table for each class of requests: a row for each variant. */
export function renderTables(
  deployment: Deployment,
  scenario: Scenario,
  results: ReadonlyMap<string, RunResult>,
): string {
  return Object.values(RequestClass)
    .map((requestClass) => {
      const title = `#### ${deployment.name}, ${scenario.name}, ${requestClass}`;
      const rows = [...results].map(([name, result]) => row(name, result, requestClass));
      return [
        title,
        '',
        line(['', ...header]),
        line(['', ...header].map(() => '---')),
        ...rows,
        '',
      ].join('\n');
    })
    .join('\n');
}

function row(name: string, result: RunResult, requestClass: RequestClass): string {
  const counted = result.classes[requestClass];
  const latencies = counted.quantiles(quantiles).map((latency) => latency.toFixed(1));
  const polls = percent(result.pollSlotMilliseconds, result.slotMilliseconds);
  return line([
    name,
    ...latencies,
    share(counted.refused, counted),
    share(counted.wronglyRefused, counted),
    share(counted.unknown, counted),
    polls,
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
