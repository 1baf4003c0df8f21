import type { ClientFault, MemoryPlace } from '@peridotspring/mesh-core';
import type { Metrics } from '@peridotspring/operators';

import { LineBudget } from '../logging/line-budget.js';
import { LogEvent } from '../logging/log-event.js';
import type { Logger } from '../logging/logger.js';

/** Lines a second about clients, and as many about connections of nodes, however many there are. */
const linesPerSecond = 20;

export interface ClientFaultRecorderOptions {
  readonly log: Pick<Logger, 'info'>;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly wallClock: () => number;
}

/** Counts what was refused to clients, and logs as much of it as the budget of the current second allows. */
export class ClientFaultRecorder {
  private readonly faultBudget = new LineBudget(linesPerSecond);
  private readonly rejectionBudget = new LineBudget(linesPerSecond);

  public constructor(private readonly options: ClientFaultRecorderOptions) {}

  /** The connection of a client at a port was refused further requests, or closed. */
  public onFault(port: string, fault: ClientFault): void {
    this.count('client_faulty', { fault, port });
    this.log(this.faultBudget, LogEvent.ClientFaulty, { fault, port });
  }

  /** A connection ended before the other node had proved itself. */
  public onPeerRejected(reason: string, detail: string): void {
    this.count('peer_connections_rejected', { reason });
    this.log(this.rejectionBudget, LogEvent.PeerRejected, { detail, reason });
  }

  /** There was no memory for bytes at a place. */
  public onMemoryExhausted(place: MemoryPlace): void {
    this.count('memory_exhausted', { place });
  }

  /** What made no progress was ended in favour of others. */
  public onMemoryReclaimed(place: MemoryPlace): void {
    this.count('memory_reclaimed', { place });
  }

  private log(budget: LineBudget, event: LogEvent, fields: Readonly<Record<string, string>>): void {
    if (!budget.tryTake(this.options.wallClock())) return;
    this.options.log.info(event, { ...fields, suppressed: budget.takeSuppressed() });
  }

  private count(counter: string, labels: Readonly<Record<string, string>>): void {
    this.options.metrics.count({ by: 1, counter, kind: 'count', labels });
  }
}
