import type { ClientFault, MemoryPlace } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators';

import { LineBudget } from '../logging/line-budget.js';
import { LogEvent } from '../logging/log-event.js';
import type { Logger } from '../logging/logger.js';

/** Lines a second about clients, however many there are. */
const linesPerSecond = 20;

export interface ClientFaultRecorderOptions {
  readonly log: Pick<Logger, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly wallClock: () => number;
}

/** Counts what was refused to clients, and logs as much of it as the budget of the current second allows. */
export class ClientFaultRecorder {
  private readonly budget = new LineBudget(linesPerSecond);

  public constructor(private readonly options: ClientFaultRecorderOptions) {}

  /** The connection of a client at a port was refused further requests, or closed. */
  public onFault(port: string, fault: ClientFault): void {
    this.count('client_faulty', { fault, port });
    if (!this.budget.tryTake(this.options.wallClock())) return;
    const suppressed = this.budget.takeSuppressed();
    this.options.log.info(LogEvent.ClientFaulty, { fault, port, suppressed });
  }

  /** There was no memory for bytes at a place. */
  public onMemoryExhausted(place: MemoryPlace): void {
    this.count('memory_exhausted', { place });
  }

  /** What made no progress was ended in favour of others. */
  public onMemoryReclaimed(place: MemoryPlace): void {
    this.count('memory_reclaimed', { place });
  }

  private count(counter: string, labels: Readonly<Record<string, string>>): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels });
  }
}
