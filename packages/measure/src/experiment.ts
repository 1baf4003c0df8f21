import { PoissonSchedule, seededRandom } from './arrival-schedule.js';
import { LoadVariant } from './load-variant.js';
import type { VariantOptions } from './load-variant.js';
import { readProcessUsage } from './process-usage.js';

export interface ExperimentOptions {
  readonly variants: readonly VariantOptions[];
  readonly ratePerSecond: number;
  readonly durationMilliseconds: number;
  /** Load before the recorded part, so that connections and compiled code are warm. */
  readonly warmUpMilliseconds: number;
  readonly seed: number;
  /** Processes whose processor time and memory are reported, by name. */
  readonly processes: Readonly<Record<string, number>>;
}

export interface VariantResult {
  readonly name: string;
  readonly requests: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly milliseconds: Readonly<Record<'p50' | 'p90' | 'p99' | 'p999' | 'maximum', number>>;
}

export interface ProcessResult {
  readonly name: string;
  readonly processorShare: number;
  readonly residentMebibytes: number;
}

export interface ExperimentResult {
  readonly ratePerSecond: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
  readonly variants: readonly VariantResult[];
  readonly processes: readonly ProcessResult[];
}

const drainLimitMilliseconds = 30_000;
const microsecondsPerMillisecond = 1_000;

/** Runs all variants side by side in one go: each gets its own arrivals at the full rate. */
export async function runExperiment(options: ExperimentOptions): Promise<ExperimentResult> {
  const { durationMilliseconds, ratePerSecond, seed, warmUpMilliseconds } = options;
  if (warmUpMilliseconds > 0) {
    await runLoad(options, warmUpMilliseconds, seed + 1);
  }
  const before = usageOf(options.processes);
  const startedAt = performance.now();
  const variants = await runLoad(options, durationMilliseconds, seed);
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  const after = usageOf(options.processes);
  const processes: ProcessResult[] = [];
  for (const [name, end] of after) {
    const start = before.get(name);
    if (start !== undefined) {
      const used = end.processorSeconds - start.processorSeconds;
      processes.push({
        name,
        processorShare: used / elapsedSeconds,
        residentMebibytes: end.residentKibibytes / 1_024,
      });
    }
  }
  return { durationMilliseconds, processes, ratePerSecond, seed, variants };
}

async function runLoad(
  options: ExperimentOptions,
  durationMilliseconds: number,
  seed: number,
): Promise<VariantResult[]> {
  const variants = options.variants.map((variant) => new LoadVariant(variant));
  const startedAt = performance.now();
  await Promise.all(
    variants.map((variant, index) =>
      fireAll(
        variant,
        new PoissonSchedule(
          options.ratePerSecond,
          durationMilliseconds,
          seededRandom(seed + index * 1_000),
        ),
        startedAt,
      ),
    ),
  );
  await waitForAnswers(variants);
  const results = variants.map((variant) => resultOf(variant));
  for (const variant of variants) {
    variant.close();
  }
  return results;
}

/** Spins on the event loop: a timer's granularity of 1 ms would drown the figures. */
async function fireAll(
  variant: LoadVariant,
  schedule: PoissonSchedule,
  startedAt: number,
): Promise<void> {
  for (let due = schedule.next(); due !== undefined; due = schedule.next()) {
    while (performance.now() - startedAt < due) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    variant.fire(startedAt + due);
  }
}

async function waitForAnswers(variants: readonly LoadVariant[]): Promise<void> {
  const startedAt = performance.now();
  while (variants.some(({ inProgress }) => inProgress > 0)) {
    if (performance.now() - startedAt > drainLimitMilliseconds) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function resultOf({ histogram, options, outcomes }: LoadVariant): VariantResult {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return {
    milliseconds: {
      maximum: histogram.maxValue / microsecondsPerMillisecond,
      p50: at(50),
      p90: at(90),
      p99: at(99),
      p999: at(99.9),
    },
    name: options.name,
    outcomes: Object.fromEntries([...outcomes].sort()),
    requests: histogram.totalCount,
  };
}

function usageOf(
  processes: Readonly<Record<string, number>>,
): Map<string, NonNullable<ReturnType<typeof readProcessUsage>>> {
  const usages = new Map<string, NonNullable<ReturnType<typeof readProcessUsage>>>();
  for (const [name, pid] of Object.entries(processes)) {
    const usage = readProcessUsage(pid);
    if (usage !== undefined) {
      usages.set(name, usage);
    }
  }
  return usages;
}
