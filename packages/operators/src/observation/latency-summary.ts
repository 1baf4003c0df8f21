import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

// The library's main module loads a WebAssembly build and a compressor too, which takes 10 MB.
const Int32Histogram = histogramModule.default;

/** Pairs of service and outcome with a histogram of their own, at about 10 KB each. */
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

/** Escapes a label value for the Prometheus text format. */
export function escapeLabel(value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');
}

/** Latencies by service and outcome since the start of the node. */
export class LatencySummary {
  private readonly series = new Map<string, Series>();

  public constructor(private readonly name: string) {}

  /** Adds the time from receipt to outcome of one request. */
  public record(service: string, outcome: string, milliseconds: number): void {
    const series = this.find(service, outcome);
    const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
    series.histogram.recordValue(Math.min(Math.max(microseconds, 0), highestMicroseconds));
    series.sumMilliseconds += milliseconds;
  }

  /** The summary in the Prometheus text format; percentiles are accurate to two digits. */
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

  private find(service: string, outcome: string): Series {
    const key = JSON.stringify([service, outcome]);
    const known = this.series.get(key);
    if (known !== undefined) return known;
    if (this.series.size >= maximumLatencySeries && service !== otherServices) {
      return this.find(otherServices, outcome);
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
