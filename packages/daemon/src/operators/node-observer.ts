import type { CallerRequestMessage, CallOutcome } from '@peridotspring/core';
import { CounterName } from '@peridotspring/core';
import type { FinishedRequest } from '@peridotspring/callers';
import type { Metrics, RefusalHistory, RequestJournal } from '@peridotspring/operators';

import type { ObservedCommand } from '../driver/node-driver.js';

/** Writes the log commands of the core. */
export interface LogPort {
  command(command: Extract<ObservedCommand, { readonly kind: 'log' }>): void;
}

export interface NodeObserverOptions {
  readonly metrics: Metrics;
  readonly journal: RequestJournal;
  readonly refusals: RefusalHistory;
  readonly log: LogPort;
  readonly wallClock: () => number;
}

/** Records requests and commands of the core as counters, journal entries and log lines. */
export class NodeObserver {
  public constructor(private readonly options: NodeObserverOptions) {}

  /** Records a counter, journal or log command of the core. */
  public onCommand(
    command: Extract<ObservedCommand, { readonly kind: 'count' | 'journal' | 'log' }>,
  ): void {
    switch (command.kind) {
      case 'count':
        this.options.metrics.count(command);
        return;
      case 'journal':
        this.options.journal.record(command.requestId, command.step, this.options.wallClock());
        return;
      case 'log':
        this.options.log.command(command);
    }
  }

  /** Records a request that was accepted from a caller. */
  public onRequestReceived({
    deadlineMilliseconds,
    head,
    requestClass,
  }: CallerRequestMessage): void {
    const { method, requestId, service, tenant } = head;
    const step = {
      deadlineMilliseconds,
      kind: 'received',
      method,
      requestClass,
      service,
      tenant,
    } as const;
    this.options.journal.record(requestId, step, this.options.wallClock());
  }

  /** Records the final outcome of a request. */
  public onRequestFinished(request: FinishedRequest): void {
    const { milliseconds, outcome, refusedDetail: detail, requestId, service, tenant } = request;
    const { journal, metrics, refusals, wallClock } = this.options;
    const now = wallClock();
    if (requestId !== undefined) {
      journal.record(requestId, { detail, kind: 'concluded', outcome, service, tenant }, now);
    }
    refusals.record(service, outcome, now);
    metrics.recordLatency(service, outcome.kind, milliseconds);
    this.count(CounterName.Requests, { outcome: outcome.kind, service });
    if (outcome.kind === 'answered') {
      return;
    }
    this.countReason(service, outcome);
    this.options.log.command({
      event: 'request-not-answered',
      fields: {
        detail: detail ?? '',
        outcome: outcome.kind,
        reason: outcome.reason,
        requestId: requestId ?? '',
        service,
      },
      kind: 'log',
      level: 'debug',
    });
  }

  private countReason(
    service: string,
    outcome: Exclude<CallOutcome, { readonly kind: 'answered' }>,
  ): void {
    const { reason } = outcome;
    if (outcome.kind === 'refused-not-run') {
      this.count(CounterName.Refusals, { reason, said_by: 'entry', service });
    } else {
      this.count(CounterName.Unknowns, { reason, service });
    }
  }

  private count(counter: string, labels: Readonly<Record<string, string>>): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels });
  }
}
