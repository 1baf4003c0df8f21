import type { ExperimentResult, VariantResult } from './experiment.js';

function row(cells: readonly (number | string)[]): string {
  return `| ${cells.join(' | ')} |`;
}

function milliseconds(value: number): string {
  return value.toFixed(2);
}

function outcomesOf({ outcomes }: VariantResult): string {
  return Object.entries(outcomes)
    .map(([label, count]) => `${label}: ${count}`)
    .join('; ');
}

/** Renders a result as Markdown tables; further variants also as the difference to the first. */
export function renderMarkdown(result: ExperimentResult): string {
  const lines = [
    `${result.ratePerSecond} requests/s for ${result.durationMilliseconds / 1_000} s to each, seed ${result.seed}. Latency in ms.`,
    '',
    row(['variant', 'requests', 'p50', 'p90', 'p99', 'p99.9', 'maximum', 'outcomes']),
    row(['---', '---', '---', '---', '---', '---', '---', '---']),
  ];
  const [baseline, ...others] = result.variants;
  for (const variant of result.variants) {
    const { maximum, p50, p90, p99, p999 } = variant.milliseconds;
    const figures = [p50, p90, p99, p999, maximum].map(milliseconds);
    lines.push(row([variant.name, variant.requests, ...figures, outcomesOf(variant)]));
  }
  for (const variant of baseline === undefined ? [] : others) {
    const added = (['p50', 'p90', 'p99', 'p999', 'maximum'] as const).map((name) =>
      milliseconds(variant.milliseconds[name] - (baseline?.milliseconds[name] ?? 0)),
    );
    lines.push(row([`${variant.name}: added`, '', ...added, '']));
  }
  if (result.processes.length > 0) {
    lines.push('', row(['process', 'share of a core', 'memory MiB']), row(['---', '---', '---']));
    for (const { name, processorShare, residentMebibytes } of result.processes) {
      lines.push(row([name, processorShare.toFixed(3), residentMebibytes.toFixed(1)]));
    }
  }
  return `${lines.join('\n')}\n`;
}
