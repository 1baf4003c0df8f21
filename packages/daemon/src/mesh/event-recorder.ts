import { DeclineReason, EntryEventName, GateEventName } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators/metrics';

import { LineBudget } from '../logging/line-budget.js';
import { MeshEvent } from './mesh-event.js';

/**
 * Maximum number of log lines per second by kind. The documentation for operators states the sum, 500. Each kind
 * has a budget of its own, so that lines about the steps of refused requests cannot displace those about outcomes.
 */
const linesPerSecond = {
  /** Outcomes of requests that failed, were late, or matched no route. */
  conclusions: 150,
  /** Steps of such requests at their entry. */
  steps: 120,
  /** Requests that a gate declined, for example for lack of room or time; the reason `busy` counts as routine. */
  declines: 50,
  /** Connections of clients that were refused further requests, or closed. */
  clients: 20,
  /** Changes in the node's view of servers, peers, the store and the configuration. */
  notable: 60,
  /** Requests that went well; lines beyond the budget are only counted. */
  routine: 100,
} as const;
/** Maximum number of requests in progress whose lines are buffered until their outcome is known. */
const maximumBufferedRequests = 2_000;
const maximumBufferedLinesPerRequest = 20;
const suppressionReportIntervalMilliseconds = 1_000;

type LogFields = Readonly<Record<string, string | number | boolean>>;

/** A line that is written or discarded when its request ends. */
interface BufferedLine {
  readonly event: string;
  readonly fields: LogFields;
  readonly time: number;
}

/**
 * Fields that become labels of an event's counter; other fields have too many distinct values. All series of a
 * counter must have the same labels, so a missing field becomes an empty label.
 */
const labelFieldsByEvent: Readonly<Record<string, readonly string[]>> = {
  [EntryEventName.RequestConcluded]: ['cause', 'outcome', 'service'],
  [EntryEventName.RequestMoved]: ['reason'],
  [EntryEventName.RequestNotRepeated]: ['reason'],
  [EntryEventName.RequestRepeated]: ['reason'],
  [GateEventName.RequestDeclined]: ['reason'],
  [GateEventName.RequestFinished]: ['outcome'],
  [GateEventName.ServerNotUsed]: ['evidence', 'reason'],
  [MeshEvent.ClientFaulty]: ['fault', 'port'],
  [MeshEvent.DepartureConfirmed]: ['by', 'message'],
  [MeshEvent.DepartureUnconfirmed]: ['message', 'reason'],
  [MeshEvent.ErrorContained]: ['place'],
  [MeshEvent.MemoryExhausted]: ['place'],
  [MeshEvent.MemoryReclaimed]: ['place'],
  [MeshEvent.RequestAnsweredLocally]: ['status'],
  [MeshEvent.ServerVerified]: ['proof'],
  [MeshEvent.StoreCalled]: ['call', 'outcome'],
};

/** Events of a request at its entry that are buffered until the request ends. */
const bufferedEvents: ReadonlySet<string> = new Set([
  EntryEventName.AttemptFailed,
  EntryEventName.AttemptSentAgain,
  EntryEventName.AttemptUnconfirmed,
  EntryEventName.RequestMoved,
  EntryEventName.RequestNotRepeated,
  EntryEventName.RequestPlaced,
  EntryEventName.RequestRepeated,
]);
/** Events of requests at a gate that indicate no failure; under load only a sample of them is written. */
const sampledEvents: ReadonlySet<string> = new Set([
  GateEventName.RequestCancelled,
  GateEventName.RequestStarted,
]);

export interface EventRecorderOptions {
  /** Writes a line; `time` is the wall-clock time of the event, which may be in the past. */
  readonly write: (event: string, fields: LogFields, time: number) => void;
  readonly metrics: Pick<Metrics, 'count' | 'recordLatency'>;
  readonly clock: () => number;
  readonly wallClock: () => number;
}

/**
 * Logs and counts the decisions of a node. All lines of a request that failed or was late are written; under heavy
 * load only its last line, which summarizes the steps. Lines of other requests are written as long as the budget of
 * the current second allows; suppressed lines are counted.
 */
export class EventRecorder {
  private readonly conclusionBudget = new LineBudget(linesPerSecond.conclusions);
  private readonly stepBudget = new LineBudget(linesPerSecond.steps);
  private readonly declineBudget = new LineBudget(linesPerSecond.declines);
  private readonly clientBudget = new LineBudget(linesPerSecond.clients);
  private readonly notableBudget = new LineBudget(linesPerSecond.notable);
  private readonly routineBudget = new LineBudget(linesPerSecond.routine);
  private readonly bufferedLines = new Map<string, BufferedLine[]>();
  private reportedAt = 0;

  public constructor(private readonly options: EventRecorderOptions) {}

  public record(event: string, fields: LogFields): void {
    const now = this.options.clock();
    this.countEvent(event, fields);
    if (bufferedEvents.has(event)) this.buffer(event, fields);
    else if (event === EntryEventName.RequestConcluded) this.onRequestConcluded(fields);
    else if (event === EntryEventName.RequestAbandoned) this.writeWithBufferedLines(event, fields);
    else if (event === GateEventName.RequestFinished) this.onRequestFinished(fields);
    else this.writeWithinBudget(this.budgetFor(event, fields), event, fields);
    this.reportSuppressed(now);
  }

  /** Counts an event that is too frequent to be logged. */
  public count(counter: string): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels: {} });
  }

  /**
   * A request waited for earlier requests on its connection (head-of-line blocking). The wait is recorded as a
   * latency whose `outcome` label is the name of the event.
   */
  public recordHeadOfLineWait(
    fields: Readonly<Record<'beforeStart' | 'withAnswer', number>> & LogFields,
  ): void {
    const milliseconds = fields.beforeStart + fields.withAnswer;
    this.options.metrics.recordLatency('', MeshEvent.RequestWaitedBehind, milliseconds);
    this.record(MeshEvent.RequestWaitedBehind, fields);
  }

  private budgetFor(event: string, { reason }: LogFields): LineBudget {
    if (sampledEvents.has(event) || event === MeshEvent.RequestWaitedBehind)
      return this.routineBudget;
    if (event === MeshEvent.RequestAnsweredLocally) return this.conclusionBudget;
    if (event === MeshEvent.ClientFaulty) return this.clientBudget;
    if (event !== GateEventName.RequestDeclined) return this.notableBudget;
    return reason === DeclineReason.Busy ? this.routineBudget : this.declineBudget;
  }

  private onRequestConcluded(fields: LogFields): void {
    const { milliseconds, outcome, request, service } = fields;
    this.options.metrics.recordLatency(String(service), String(outcome), Number(milliseconds));
    if (isFailedOrLate(fields)) {
      this.writeWithBufferedLines(EntryEventName.RequestConcluded, fields);
      return;
    }
    this.bufferedLines.delete(String(request));
    this.writeWithinBudget(this.routineBudget, EntryEventName.RequestConcluded, fields);
  }

  /** Writes the last line of a request, preceded by its buffered lines if the budget has room for all of them. */
  private writeWithBufferedLines(event: string, fields: LogFields): void {
    const request = String(fields.request);
    const earlierLines = this.bufferedLines.get(request) ?? [];
    this.bufferedLines.delete(request);
    // Budgets follow seconds of the wall clock, so that they can be verified by counting the lines in the log.
    if (this.stepBudget.tryTake(this.options.wallClock(), earlierLines.length)) {
      for (const line of earlierLines) this.options.write(line.event, line.fields, line.time);
    }
    this.writeWithinBudget(this.conclusionBudget, event, fields);
  }

  /** Writes the gate's last line of a failed or late request. For other requests the first line is sufficient. */
  private onRequestFinished(fields: LogFields): void {
    if (!isFailedOrLate(fields)) return;
    this.writeWithinBudget(this.conclusionBudget, GateEventName.RequestFinished, fields);
  }

  private buffer(event: string, fields: LogFields): void {
    const request = String(fields.request);
    let lines = this.bufferedLines.get(request);
    if (lines === undefined) {
      if (this.bufferedLines.size >= maximumBufferedRequests) return;
      lines = [];
      this.bufferedLines.set(request, lines);
    }
    if (lines.length >= maximumBufferedLinesPerRequest) return;
    lines.push({ event, fields, time: this.options.wallClock() });
  }

  private countEvent(event: string, fields: LogFields): void {
    const labels: Record<string, string> = {};
    for (const name of labelFieldsByEvent[event] ?? []) labels[name] = String(fields[name] ?? '');
    this.options.metrics.count({ by: 1, counter: event, kind: 'count', labels });
  }

  private writeWithinBudget(budget: LineBudget, event: string, fields: LogFields): void {
    const time = this.options.wallClock();
    if (budget.tryTake(time)) this.options.write(event, fields, time);
  }

  private reportSuppressed(now: number): void {
    if (now - this.reportedAt < suppressionReportIntervalMilliseconds) return;
    this.reportedAt = now;
    const suppressed = {
      clients: this.clientBudget.takeSuppressed(),
      conclusions: this.conclusionBudget.takeSuppressed(),
      declines: this.declineBudget.takeSuppressed(),
      notable: this.notableBudget.takeSuppressed(),
      routine: this.routineBudget.takeSuppressed(),
      steps: this.stepBudget.takeSuppressed(),
    };
    if (Object.values(suppressed).every((lines) => lines === 0)) return;
    this.options.write(MeshEvent.LinesSuppressed, suppressed, this.options.wallClock());
  }
}

function isFailedOrLate({ late, outcome, status }: LogFields): boolean {
  return outcome !== 'answered' || Number(status) >= 500 || late === true;
}
