import type { CountCommand } from '@peridotspring/core';
import { Counter, Gauge, Registry } from 'prom-client';

import { LatencySummary } from './latency-summary.js';

const prefix = 'peridotspring_';
/** Series of one counter; a label with more values than that would fill the node's memory. */
export const maximumSeriesPerCounter = 1_000;

type Labels = Readonly<Record<string, string>>;

/** Counts of one series that prom-client has not been told yet. */
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

/** A value that is read whenever the metrics are. */
export interface GaugeDefinition {
  /** Without the prefix `peridotspring_`. */
  readonly name: string;
  readonly help: string;
  read(): number;
}

/** A value for each of a number of things, such as services, that is read whenever the metrics are. */
export interface LabelledGaugeDefinition {
  /** Without the prefix `peridotspring_`. */
  readonly name: string;
  readonly help: string;
  readonly label: string;
  read(): Iterable<readonly [string, number]>;
}

/** Label names may not contain the hyphens of the core's names. */
function cleanLabels(labels: Labels): Labels {
  return Object.fromEntries(
    Object.entries(labels).map(([name, value]) => [name.replace(/[^A-Za-z0-9_]/g, '_'), value]),
  );
}

function labelNamesOf(labels: Labels): readonly string[] {
  return Object.keys(labels).sort();
}

/** Tells apart what `count` is called with; label names and values hold no control characters. */
function seriesKey({ counter, labels }: CountCommand): string {
  let key = counter;
  for (const name of Object.keys(labels)) key += `\u0000${name}\u0000${labels[name] ?? ''}`;
  return key;
}

/** Name of a counter as Prometheus has it: `retries-refused` becomes `peridotspring_retries_refused_total`. */
export function metricName(counter: string): string {
  const name = counter.replace(/[^A-Za-z0-9_]/g, '_').replace(/_total$/, '');
  return `${prefix}${name}_total`;
}

/** Counters, gauges and latencies of a node, exposed as Prometheus text. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, BoundedCounter>();
  /**
   * Series that were accepted, by the key of their command. prom-client checks and hashes the labels
   * at each increment, so it gets the sums when the metrics are read.
   */
  private readonly accepted = new Map<string, PendingSeries>();
  private readonly latencies = new LatencySummary(`${prefix}request_duration_milliseconds`);
  private readonly dropped = new Counter({
    help: 'Counts dropped because of other label names than before or too many label values.',
    labelNames: ['counter', 'cause'],
    name: `${prefix}metrics_dropped_total`,
    registers: [this.registry],
  });

  /** The content type of `text`. */
  public readonly contentType = 'text/plain; version=0.0.4; charset=utf-8';

  /** Raises the counter that a command of the core names; it is created on first use. */
  public count(command: CountCommand): void {
    const key = seriesKey(command);
    const known = this.accepted.get(key);
    if (known !== undefined) {
      known.count += command.by;
      return;
    }
    const accepted = this.accept(command);
    if (accepted !== undefined) this.accepted.set(key, accepted);
  }

  /** Adds the latency of one request. */
  public recordLatency(service: string, outcome: string, milliseconds: number): void {
    this.latencies.record(service, outcome, milliseconds);
  }

  /** Adds a gauge that is read at each scrape. */
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

  /** Adds a gauge with one series for each value of a label; series that are no longer read disappear. */
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

  /** Everything in the Prometheus text format. */
  public async text(): Promise<string> {
    this.flush();
    return `${await this.registry.metrics()}\n${this.latencies.text()}`;
  }

  /** The series of a command, unless it has other label names than before or there are too many. */
  private accept(command: CountCommand): PendingSeries | undefined {
    const name = metricName(command.counter);
    const labels = cleanLabels(command.labels);
    const bounded = this.counters.get(name) ?? this.create(name, command.counter, labels);
    const names = labelNamesOf(labels);
    if (names.join() !== bounded.labelNames.join()) {
      this.dropped.inc({ cause: 'label-names', counter: name }, command.by);
      return undefined;
    }
    const series = JSON.stringify(names.map((label) => labels[label]));
    if (!bounded.series.has(series)) {
      if (bounded.series.size >= maximumSeriesPerCounter) {
        this.dropped.inc({ cause: 'label-values', counter: name }, command.by);
        return undefined;
      }
      bounded.series.add(series);
    }
    return { count: command.by, counter: bounded.counter, labels };
  }

  private flush(): void {
    for (const series of this.accepted.values()) {
      if (series.count === 0) continue;
      series.counter.inc({ ...series.labels }, series.count);
      series.count = 0;
    }
  }

  private create(name: string, counterName: string, labels: Labels): BoundedCounter {
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
