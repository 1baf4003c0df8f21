import type { CountCommand } from '@peridotspring/core';
import { Counter, Gauge, Registry } from 'prom-client';

import { LatencySummary } from './latency-summary.js';

const prefix = 'peridotspring_';
/** Limit of the series of one counter, so that a label with ever new values does not fill the memory. */
export const maximumSeriesPerCounter = 1_000;

type Labels = Readonly<Record<string, string>>;

/** A series and the increments not yet passed to prom-client. */
interface PendingSeries {
  readonly counter: Counter;
  readonly labels: Labels;
  count: number;
}

interface BoundedCounter {
  readonly counter: Counter;
  readonly labelNames: readonly string[];
  readonly series: Set<string>;
}

/** A gauge whose value is read at each scrape. */
export interface GaugeDefinition {
  /** Without the prefix `peridotspring_`. */
  readonly name: string;
  readonly help: string;
  read(): number;
}

/** A gauge with one series for each value of a label, such as the service; read at each scrape. */
export interface LabelledGaugeDefinition {
  /** Without the prefix `peridotspring_`. */
  readonly name: string;
  readonly help: string;
  readonly label: string;
  read(): Iterable<readonly [string, number]>;
}

/** A gauge that is always 1, whose labels hold the information. */
export interface InformationDefinition {
  /** Without the prefix `peridotspring_`. */
  readonly name: string;
  readonly help: string;
  readonly labels: Labels;
}

/** Replaces characters that Prometheus does not allow in label names, such as the hyphens of the core. */
function sanitizeLabels(labels: Labels): Labels {
  return Object.fromEntries(
    Object.entries(labels).map(([name, value]) => [name.replace(/[^A-Za-z0-9_]/g, '_'), value]),
  );
}

function labelNamesOf(labels: Labels): readonly string[] {
  return Object.keys(labels).sort();
}

/** Key of a command's series. NUL separates the parts, since labels hold no control characters. */
function seriesKey({ counter, labels }: CountCommand): string {
  let key = counter;
  for (const name of Object.keys(labels)) key += `\u0000${name}\u0000${labels[name] ?? ''}`;
  return key;
}

/** Prometheus name of a counter: `retries-refused` becomes `peridotspring_retries_refused_total`. */
export function metricName(counter: string): string {
  const name = counter.replace(/[^A-Za-z0-9_]/g, '_').replace(/_total$/, '');
  return `${prefix}${name}_total`;
}

/** Counters, gauges and latencies of a node, exposed in the Prometheus text format. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, BoundedCounter>();
  /**
   * Series by the key of their command. prom-client validates and hashes the labels at each increment,
   * so increments are summed here and passed on when the metrics are read.
   */
  private readonly pendingSeries = new Map<string, PendingSeries>();
  private readonly latencies = new LatencySummary(`${prefix}request_duration_milliseconds`);
  private readonly droppedCounts = new Counter({
    help: 'Counts dropped because of different label names than before or too many label values.',
    labelNames: ['counter', 'cause'],
    name: `${prefix}metrics_dropped_total`,
    registers: [this.registry],
  });

  /** Content type of the result of `text`. */
  public readonly contentType = 'text/plain; version=0.0.4; charset=utf-8';

  /** Increments the counter that a command of the core names. A counter is created on first use. */
  public count(command: CountCommand): void {
    const key = seriesKey(command);
    const known = this.pendingSeries.get(key);
    if (known !== undefined) {
      known.count += command.by;
      return;
    }
    const created = this.createSeries(command);
    if (created !== undefined) this.pendingSeries.set(key, created);
  }

  public recordLatency(service: string, outcome: string, milliseconds: number): void {
    this.latencies.record(service, outcome, milliseconds);
  }

  public addGauge(definition: GaugeDefinition): void {
    const gauge: Gauge = new Gauge({
      collect: () => {
        gauge.set(definition.read());
      },
      help: definition.help,
      name: `${prefix}${definition.name}`,
      registers: [this.registry],
    });
  }

  /** Adds a gauge with one series for each label value. Series that are no longer read are removed. */
  public addLabelledGauge(definition: LabelledGaugeDefinition): void {
    const { help, label, name } = definition;
    const gauge: Gauge = new Gauge({
      collect: () => {
        gauge.reset();
        for (const [labelValue, value] of definition.read())
          gauge.set({ [label]: labelValue }, value);
      },
      help,
      labelNames: [label],
      name: `${prefix}${name}`,
      registers: [this.registry],
    });
  }

  public addInformation({ help, labels, name }: InformationDefinition): void {
    const gauge = new Gauge({
      help,
      labelNames: Object.keys(labels),
      name: `${prefix}${name}`,
      registers: [this.registry],
    });
    gauge.set({ ...labels }, 1);
  }

  /** All metrics in the Prometheus text format. */
  public async text(): Promise<string> {
    this.flushPendingCounts();
    return `${await this.registry.metrics()}\n${this.latencies.text()}`;
  }

  /** Creates the series of a command; undefined if its label names differ or the counter has too many series. */
  private createSeries(command: CountCommand): PendingSeries | undefined {
    const name = metricName(command.counter);
    const labels = sanitizeLabels(command.labels);
    const bounded = this.counters.get(name) ?? this.createCounter(name, command.counter, labels);
    const names = labelNamesOf(labels);
    if (names.join() !== bounded.labelNames.join()) {
      this.droppedCounts.inc({ cause: 'label-names', counter: name }, command.by);
      return undefined;
    }
    const series = JSON.stringify(names.map((label) => labels[label]));
    if (!bounded.series.has(series)) {
      if (bounded.series.size >= maximumSeriesPerCounter) {
        this.droppedCounts.inc({ cause: 'label-values', counter: name }, command.by);
        return undefined;
      }
      bounded.series.add(series);
    }
    return { count: command.by, counter: bounded.counter, labels };
  }

  private flushPendingCounts(): void {
    for (const series of this.pendingSeries.values()) {
      if (series.count === 0) continue;
      series.counter.inc({ ...series.labels }, series.count);
      series.count = 0;
    }
  }

  private createCounter(name: string, counterName: string, labels: Labels): BoundedCounter {
    const labelNames = labelNamesOf(labels);
    const counter = new Counter({
      help: `Count of ${counterName}.`,
      labelNames: [...labelNames],
      name,
      registers: [this.registry],
    });
    const bounded = { counter, labelNames, series: new Set<string>() };
    this.counters.set(name, bounded);
    return bounded;
  }
}
