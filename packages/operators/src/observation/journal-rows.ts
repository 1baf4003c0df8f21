import type { CallOutcome, LoadReport } from '@peridotspring/core';

import type { Row } from '../questions/rows.js';
import type { JournalEntry, JournalStep, RequestStep } from './request-journal.js';

/** Formats a wall-clock time as text that sorts chronologically. */
export function formatTimestamp(unixMilliseconds: number): string {
  return new Date(unixMilliseconds).toISOString();
}

function loadCells(load: LoadReport | undefined): Row {
  return {
    in_flight: load?.inFlight ?? null,
    latency_ms: load?.latencyMilliseconds ?? null,
    limit: load?.limit ?? null,
    queued: load?.queued ?? null,
    state: load?.state ?? null,
  };
}

function reasonOf(outcome: CallOutcome): string | null {
  return outcome.kind === 'answered' ? null : outcome.reason;
}

function outcomeDetail({ detail, outcome }: Extract<RequestStep, { kind: 'concluded' }>): string {
  const text = outcomeText(outcome);
  return detail === undefined ? text : `${text}: ${detail}`;
}

function outcomeText(outcome: CallOutcome): string {
  switch (outcome.kind) {
    case 'answered':
      return `answered ${outcome.status}`;
    case 'refused-not-run':
      return outcome.kind;
    case 'outcome-unknown':
      return `${outcome.kind} attempt ${outcome.attemptStarted ? 'started' : 'not started'}`;
  }
}

function sentDetail({ retryReason, role }: Extract<RequestStep, { kind: 'sent' }>): string {
  return retryReason === undefined ? `to the ${role}` : `to the ${role}, ${retryReason}`;
}

function stepCells(step: RequestStep): Row {
  switch (step.kind) {
    case 'received':
      return {
        detail: `${step.requestClass} ${step.method} deadline ${step.deadlineMilliseconds} ms`,
        reason: null,
        server: null,
      };
    case 'sent':
      return { detail: sentDetail(step), reason: null, server: step.server };
    case 'refused':
      return { detail: null, reason: step.reason, server: step.server };
    case 'answered':
      return { detail: `status ${step.status}`, reason: null, server: step.server };
    case 'cancelled':
      return { detail: step.detail, reason: null, server: step.server ?? null };
    case 'failed':
      return { detail: step.detail, reason: null, server: step.server };
    case 'concluded':
      return { detail: outcomeDetail(step), reason: reasonOf(step.outcome), server: null };
  }
}

function loadOf(step: RequestStep): LoadReport | undefined {
  return 'load' in step ? step.load : undefined;
}

/** One row for each step of a request. */
export function stepRows(entry: JournalEntry, server: string): readonly Row[] {
  const start = entry.steps[0]?.at ?? 0;
  return entry.steps.map(({ at, step }) => ({
    after_ms: at - start,
    at: formatTimestamp(at),
    entry: server,
    request: entry.requestId,
    step: step.kind,
    ...stepCells(step),
    ...loadCells(loadOf(step)),
  }));
}

function findConclusion(
  steps: readonly JournalStep[],
): ({ readonly at: number } & Extract<RequestStep, { kind: 'concluded' }>) | undefined {
  const last = steps.at(-1);
  return last?.step.kind === 'concluded' ? { at: last.at, ...last.step } : undefined;
}

/** One row that summarizes a request. */
export function requestRow(entry: JournalEntry, server: string): Row {
  const [first] = entry.steps;
  const received = first?.step.kind === 'received' ? first.step : undefined;
  const conclusion = findConclusion(entry.steps);
  const outcome = conclusion?.outcome;
  return {
    at: formatTimestamp(first?.at ?? 0),
    attempts: entry.steps.filter(({ step }) => step.kind === 'sent').length,
    class: received?.requestClass ?? null,
    entry: server,
    latency_ms: conclusion === undefined ? null : conclusion.at - (first?.at ?? 0),
    outcome: outcome?.kind ?? '',
    reason: outcome === undefined ? null : reasonOf(outcome),
    request: entry.requestId,
    service: received?.service ?? conclusion?.service ?? null,
    status: outcome?.kind === 'answered' ? outcome.status : null,
    tenant: received?.tenant ?? conclusion?.tenant ?? null,
  };
}
