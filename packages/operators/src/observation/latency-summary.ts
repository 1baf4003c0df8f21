import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

// Imported directly, because the library's main module also loads a WebAssembly build and a compressor,
// which take 10 MB.
const Int32Histogram = histogramModule.default;

/** Limit of the histograms, one for each pair of service and outcome, at about 10 KB each. */
export const maximumLatencySeries = 256;

const quantiles = [0.5, 0.9, 0.99, 0.999] as const;
const significantDigits = 2;
const highestMicroseconds = 120_000_000;
const microsecondsPerMillisecond = 1_000;
const otherServices = '(other)';

interface Series {
  readonly service: string;
  readonly outcome: string;
  readonly histogram: InstanceType<typeof Int32Histogram>;
  sumMilliseconds: number;
}

/** Escapes a label value as the Prometheus text format requires. */
export function escapeLabel(value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');
}

/** Request latencies by service and outcome since the start of the node. */
export class LatencySummary {
  private readonly series = new Map<string, Series>();

  public constructor(private readonly name: string) {}

  /** Records the time from the receipt of a request to its outcome. */
  public record(service: string, outcome: string, milliseconds: number): void {
    const series = this.findOrCreateSeries(service, outcome);
    const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
    series.histogram.recordValue(Math.min(Math.max(microseconds, 0), highestMicroseconds));
    series.sumMilliseconds += milliseconds;
  }

  /** The summary in the Prometheus text format. Percentiles are accurate to two significant digits. */
  public text(): string {
    const lines = [
      `# HELP ${this.name} Time from receipt of a request to its outcome, in milliseconds.`,
      `# TYPE ${this.name} summary`,
    ];
    for (const { histogram, outcome, service, sumMilliseconds } of this.series.values()) {
      const labels = `service="${escapeLabel(service)}",outcome="${escapeLabel(outcome)}"`;
      for (const quantile of quantiles) {
        const value = histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
        lines.push(`${this.name}{${labels},quantile="${quantile}"} ${value}`);
      }
      lines.push(`${this.name}_sum{${labels}} ${sumMilliseconds}`);
      lines.push(`${this.name}_count{${labels}} ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private findOrCreateSeries(service: string, outcome: string): Series {
    const key = JSON.stringify([service, outcome]);
    const known = this.series.get(key);
    if (known !== undefined) return known;
    if (this.series.size >= maximumLatencySeries && service !== otherServices) {
      return this.findOrCreateSeries(otherServices, outcome);
    }
    const series: Series = {
      histogram: new Int32Histogram(1, highestMicroseconds, significantDigits),
      outcome,
      service,
      sumMilliseconds: 0,
    };
    this.series.set(key, series);
    return series;
  }
}
