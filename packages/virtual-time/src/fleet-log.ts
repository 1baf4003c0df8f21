import type { CallOutcome, Configuration, ProposalResult } from '@peridotspring/core';

/** A streamed request body at its caller. */
export interface RequestBodyEntry {
  readonly chunks: number;
  /** `whole` once the entry has read its end, `cut` if the caller or the entry went away before. */
  state: 'cut' | 'sending' | 'whole';
}

/** A streamed request body as an upstream saw it. */
export interface ExecutionBodyEntry {
  chunks: number;
  state: 'arriving' | 'cut' | 'whole';
}

/** One run of a request at an upstream. */
export interface ExecutionEntry {
  readonly server: string;
  /** Undefined for an idempotent request. */
  readonly key: string | undefined;
  readonly requestId: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  end: 'answered' | 'body-cut' | 'cancelled' | 'crashed' | undefined;
  /** Present when the body was streamed. */
  readonly body: ExecutionBodyEntry | undefined;
}

/** What a caller was told. */
export interface AnswerEntry {
  readonly at: number;
  readonly outcome: CallOutcome;
  /** How far the caller had sent its streamed body when the answer came. */
  readonly sentBody: RequestBodyEntry['state'] | undefined;
  /** The request and the key whose execution made the answer, as the upstream wrote them. */
  readonly body: string | undefined;
}

/** One request of a caller to one node. */
export interface RequestEntry {
  readonly requestId: string;
  readonly entry: string;
  readonly service: string;
  readonly key: string | undefined;
  readonly sentAt: number;
  readonly deadlineAt: number;
  readonly answers: AnswerEntry[];
  /** Present when the body was streamed. */
  readonly body: RequestBodyEntry | undefined;
  /** When the caller closed its connection. */
  abandonedAt: number | undefined;
  /** When the caller's connection broke because the entry ended. */
  brokenAt: number | undefined;
}

/** A configuration that a node reported in force. */
export interface InForceEntry {
  readonly server: string;
  /** Differs between two starts of a server. */
  readonly life: number;
  readonly at: number;
  readonly configuration: Configuration;
}

/** A change that an operator proposed; the services carry the marker if it holds. */
export interface ChangeEntry {
  readonly services: readonly string[];
  readonly marker: number;
  readonly proposedAt: number;
  concludedAt: number | undefined;
  result: ProposalResult | undefined;
}

/** A time during which something was so at a server; `to` is undefined while it lasts. */
export interface PeriodEntry {
  readonly kind: 'drained' | 'frozen' | 'running' | 'stopping';
  readonly server: string;
  readonly from: number;
  to: number | undefined;
}

/** Everything that can be seen from outside the nodes; the checks look at nothing else. */
export class FleetLog {
  public readonly executions: ExecutionEntry[] = [];
  public readonly requests: RequestEntry[] = [];
  public readonly inForce: InForceEntry[] = [];
  public readonly changes: ChangeEntry[] = [];
  public readonly periods: PeriodEntry[] = [];

  public begin(kind: PeriodEntry['kind'], server: string, from: number): void {
    this.periods.push({ from, kind, server, to: undefined });
  }

  public end(kind: PeriodEntry['kind'], server: string, to: number): void {
    for (const period of this.periods) {
      if (period.kind === kind && period.server === server) period.to ??= to;
    }
  }

  public of(kind: PeriodEntry['kind'], server: string): PeriodEntry[] {
    return this.periods.filter((period) => period.kind === kind && period.server === server);
  }
}
