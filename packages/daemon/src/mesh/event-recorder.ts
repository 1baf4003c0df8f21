import { EntryEventName, GateEventName } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators/metrics';

import { LineBudget } from './line-budget.js';
import { MeshEvent } from './mesh-event.js';

/** Lines of requests that went well; beyond that, counters tell of them. */
const routineLinesPerSecond = 100;
/** Lines of requests that ended badly or late, and of everything else. */
const notableLinesPerSecond = 400;
/** Requests in progress whose lines are kept until it is known how they end. */
const maximumKeptRequests = 2_000;
const maximumKeptLines = 20;
const reportMilliseconds = 1_000;

type Fields = Readonly<Record<string, string | number | boolean>>;

/** A line that waits for the end of its request. */
interface KeptLine {
  readonly event: string;
  readonly fields: Fields;
  readonly time: number;
}

/**
 * Fields by which events are counted; others have too many values. A counter has the same labels in all
 * its series, so a field that an event lacks is counted as an empty one.
 */
const countedFields: Readonly<Record<string, readonly string[]>> = {
  [EntryEventName.RequestConcluded]: ['cause', 'outcome', 'service'],
  [EntryEventName.RequestMoved]: ['reason'],
  [EntryEventName.RequestNotRepeated]: ['reason'],
  [EntryEventName.RequestRepeated]: ['reason'],
  [GateEventName.RequestDeclined]: ['reason'],
  [GateEventName.RequestFinished]: ['outcome'],
  [MeshEvent.RequestAnsweredLocally]: ['status'],
  [MeshEvent.StoreCalled]: ['call', 'outcome'],
};

/** Events of a request at its entry, which are kept until the request ends. */
const entryEvents: ReadonlySet<string> = new Set([
  EntryEventName.AttemptFailed,
  EntryEventName.RequestMoved,
  EntryEventName.RequestNotRepeated,
  EntryEventName.RequestPlaced,
  EntryEventName.RequestRepeated,
]);
/** Events of requests at a gate, of which only a sample is written under load. */
const gateEvents: ReadonlySet<string> = new Set([
  GateEventName.RequestCancelled,
  GateEventName.RequestDeclined,
  GateEventName.RequestStarted,
]);

export interface EventRecorderOptions {
  /** Writes a line; `time` is the wall time of the event, which may be some time ago. */
  readonly write: (event: string, fields: Fields, time: number) => void;
  readonly metrics: Pick<Metrics, 'count' | 'recordLatency'>;
  readonly clock: () => number;
  readonly wallClock: () => number;
}

/**
 * Logs and counts what a node decides. A request that ends badly or late keeps all its lines; of the
 * others as many are written as the budget of a second allows, and the rest are counted.
 */
export class EventRecorder {
  private readonly routine = new LineBudget(routineLinesPerSecond);
  private readonly notable = new LineBudget(notableLinesPerSecond);
  private readonly kept = new Map<string, KeptLine[]>();
  private reportedAt = 0;

  public constructor(private readonly options: EventRecorderOptions) {}

  public record(event: string, fields: Fields): void {
    const now = this.options.clock();
    this.countEvent(event, fields);
    if (entryEvents.has(event)) this.keep(event, fields);
    else if (event === EntryEventName.RequestConcluded) this.concluded(fields);
    else if (event === EntryEventName.RequestAbandoned) this.writeWhole(event, fields);
    else if (event === GateEventName.RequestFinished) this.finished(fields);
    else if (gateEvents.has(event)) this.writeWithin(this.routine, event, fields);
    else this.writeWithin(this.notable, event, fields);
    this.reportSuppressed(now);
  }

  /** Counts something that happens too often for a line. */
  public count(counter: string): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels: {} });
  }

  private concluded(fields: Fields): void {
    const { milliseconds, outcome, request, service } = fields;
    this.options.metrics.recordLatency(String(service), String(outcome), Number(milliseconds));
    if (isBad(fields)) {
      this.writeWhole(EntryEventName.RequestConcluded, fields);
      return;
    }
    this.kept.delete(String(request));
    this.writeWithin(this.routine, EntryEventName.RequestConcluded, fields);
  }

  /** Writes the last line of a request, and before it those that were kept. */
  private writeWhole(event: string, fields: Fields): void {
    const request = String(fields.request);
    for (const line of this.kept.get(request) ?? []) {
      this.writeWithin(this.notable, line.event, line.fields, line.time);
    }
    this.kept.delete(request);
    this.writeWithin(this.notable, event, fields);
  }

  /** The gate's line of a request that ends badly is kept as well; the others have their first line. */
  private finished(fields: Fields): void {
    if (!isBad(fields)) return;
    this.writeWithin(this.notable, GateEventName.RequestFinished, fields);
  }

  private keep(event: string, fields: Fields): void {
    const request = String(fields.request);
    let lines = this.kept.get(request);
    if (lines === undefined) {
      if (this.kept.size >= maximumKeptRequests) return;
      lines = [];
      this.kept.set(request, lines);
    }
    if (lines.length >= maximumKeptLines) return;
    lines.push({ event, fields, time: this.options.wallClock() });
  }

  private countEvent(event: string, fields: Fields): void {
    const labels: Record<string, string> = {};
    for (const name of countedFields[event] ?? []) labels[name] = String(fields[name] ?? '');
    this.options.metrics.count({ by: 1, counter: event, kind: 'count', labels });
  }

  private writeWithin(
    budget: LineBudget,
    event: string,
    fields: Fields,
    time = this.options.wallClock(),
  ): void {
    // Seconds of the wall clock, so that the lines of a second can be counted in the log.
    if (budget.take(this.options.wallClock())) this.options.write(event, fields, time);
  }

  private reportSuppressed(now: number): void {
    if (now - this.reportedAt < reportMilliseconds) return;
    this.reportedAt = now;
    const notable = this.notable.takeSuppressed();
    const routine = this.routine.takeSuppressed();
    if (notable + routine === 0) return;
    this.options.write(MeshEvent.LinesSuppressed, { notable, routine }, this.options.wallClock());
  }
}

function isBad({ late, outcome, status }: Fields): boolean {
  return outcome !== 'answered' || Number(status) >= 500 || late === true;
}
