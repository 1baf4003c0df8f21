import { DeclineReason, EntryEventName, GateEventName } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators/metrics';

import { LineBudget } from './line-budget.js';
import { MeshEvent } from './mesh-event.js';

/**
 * Lines that a node writes in a second, by what they tell of; the operators' page names their sum, 500. Each
 * kind has its own budget, so that the steps of refused requests cannot displace how requests ended.
 */
const linesPerSecond = {
  /** How requests ended that ended badly or late, or without a route. */
  conclusions: 150,
  /** Steps of those requests at their entry. */
  steps: 120,
  /** Requests that a gate declined for want of room or time. */
  declines: 50,
  /** What changes a belief of the node. */
  notable: 80,
  /** Requests that went well; counters tell of the rest. */
  routine: 100,
} as const;
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
/** Events of requests at a gate that say nothing of a bad end; only a sample is written under load. */
const gateEvents: ReadonlySet<string> = new Set([
  GateEventName.RequestCancelled,
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
 * Logs and counts what a node decides. A request that ends badly or late keeps all its lines, or under a
 * heavy load the last one, which has what the steps before it come to. Of the others as many are written
 * as the budget of a second allows, and the rest are counted.
 */
export class EventRecorder {
  private readonly conclusions = new LineBudget(linesPerSecond.conclusions);
  private readonly steps = new LineBudget(linesPerSecond.steps);
  private readonly declines = new LineBudget(linesPerSecond.declines);
  private readonly notable = new LineBudget(linesPerSecond.notable);
  private readonly routine = new LineBudget(linesPerSecond.routine);
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
    else this.writeWithin(this.budgetOf(event, fields), event, fields);
    this.reportSuppressed(now);
  }

  /** Counts something that happens too often for a line. */
  public count(counter: string): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels: {} });
  }

  /** A request waited for others on its connection; the series has the name of the event as its outcome. */
  public waitedBehind(
    fields: Readonly<Record<'beforeStart' | 'withAnswer', number>> & Fields,
  ): void {
    const milliseconds = fields.beforeStart + fields.withAnswer;
    this.options.metrics.recordLatency('', MeshEvent.RequestWaitedBehind, milliseconds);
    this.record(MeshEvent.RequestWaitedBehind, fields);
  }

  private budgetOf(event: string, { reason }: Fields): LineBudget {
    if (gateEvents.has(event) || event === MeshEvent.RequestWaitedBehind) return this.routine;
    if (event === MeshEvent.RequestAnsweredLocally) return this.conclusions;
    if (event !== GateEventName.RequestDeclined) return this.notable;
    return reason === DeclineReason.Busy ? this.routine : this.declines;
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

  /** Writes the last line of a request, and before it those that were kept, if there is room for all. */
  private writeWhole(event: string, fields: Fields): void {
    const request = String(fields.request);
    const kept = this.kept.get(request) ?? [];
    this.kept.delete(request);
    // Seconds of the wall clock, so that the lines of a second can be counted in the log.
    if (this.steps.take(this.options.wallClock(), kept.length)) {
      for (const line of kept) this.options.write(line.event, line.fields, line.time);
    }
    this.writeWithin(this.conclusions, event, fields);
  }

  /** The gate's line of a request that ends badly is kept as well; the others have their first line. */
  private finished(fields: Fields): void {
    if (!isBad(fields)) return;
    this.writeWithin(this.conclusions, GateEventName.RequestFinished, fields);
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

  private writeWithin(budget: LineBudget, event: string, fields: Fields): void {
    const time = this.options.wallClock();
    if (budget.take(time)) this.options.write(event, fields, time);
  }

  private reportSuppressed(now: number): void {
    if (now - this.reportedAt < reportMilliseconds) return;
    this.reportedAt = now;
    const suppressed = {
      conclusions: this.conclusions.takeSuppressed(),
      declines: this.declines.takeSuppressed(),
      notable: this.notable.takeSuppressed(),
      routine: this.routine.takeSuppressed(),
      steps: this.steps.takeSuppressed(),
    };
    if (Object.values(suppressed).every((lines) => lines === 0)) return;
    this.options.write(MeshEvent.LinesSuppressed, suppressed, this.options.wallClock());
  }
}

function isBad({ late, outcome, status }: Fields): boolean {
  return outcome !== 'answered' || Number(status) >= 500 || late === true;
}
