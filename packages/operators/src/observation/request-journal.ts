import type { AttemptStep, CallOutcome, RequestClass } from '@peridotspring/core';

import { evictOldest } from './bounded-map.js';

/** A step of a request, as observed by its entry or by the home of its key. */
export type RequestStep =
  | {
      readonly kind: 'received';
      readonly service: string;
      readonly tenant: string;
      readonly requestClass: RequestClass;
      readonly method: string;
      readonly deadlineMilliseconds: number;
    }
  | AttemptStep
  | {
      readonly kind: 'concluded';
      readonly outcome: CallOutcome;
      readonly service: string;
      readonly tenant: string;
      /** Why the entry itself refused the request, for people. */
      readonly detail?: string | undefined;
    };

/** A step with its time. */
export interface JournalStep {
  /** Wall-clock time in Unix milliseconds. */
  readonly at: number;
  readonly step: RequestStep;
}

/** A request and its steps in chronological order. */
export interface JournalEntry {
  readonly requestId: string;
  readonly steps: readonly JournalStep[];
  /** Number of steps that were dropped because the journal entry was full. */
  readonly omittedSteps: number;
}

interface MutableJournalEntry {
  readonly requestId: string;
  readonly steps: JournalStep[];
  omittedSteps: number;
}

/** Limits of a journal. */
export interface JournalBounds {
  /** Number of requests in progress and answered requests. */
  readonly recentRequests: number;
  /** Number of refused requests and requests with an unknown outcome. */
  readonly unsuccessfulRequests: number;
  readonly stepsPerRequest: number;
}

/**
 * A journal entry with three attempts takes about 1 KB, so the journal takes about 4 MB of the 64 MB
 * that a node may use for its control functions.
 */
export const defaultJournalBounds: JournalBounds = {
  recentRequests: 2_048,
  stepsPerRequest: 24,
  unsuccessfulRequests: 2_048,
};

/**
 * Keeps recent requests with all their attempts. Unsuccessful requests are kept separately, so that
 * answered requests do not evict the ones that an operator asks about.
 */
export class RequestJournal {
  private readonly recent = new Map<string, MutableJournalEntry>();
  private readonly unsuccessful = new Map<string, MutableJournalEntry>();

  public constructor(private readonly bounds: JournalBounds = defaultJournalBounds) {}

  /**
   * Adds a step. A journal entry is created on the receipt of a request, on an attempt that the home of
   * its key sends, and on the conclusion of a request that was refused on receipt. All other steps of
   * requests that are not in the journal are dropped.
   */
  public record(requestId: string, step: RequestStep, at: number): void {
    const entry = this.find(requestId) ?? this.createEntry(requestId, step);
    if (entry === undefined) return;
    // The conclusion is kept even if the journal entry is full, because it holds the caller's outcome.
    if (entry.steps.length < this.bounds.stepsPerRequest || step.kind === 'concluded') {
      entry.steps.push({ at, step });
    } else {
      entry.omittedSteps += 1;
    }
    if (isUnsuccessful(entry, step)) this.moveToUnsuccessful(entry);
  }

  /** The journal entry of a request; undefined if there is none or it was evicted. */
  public entry(requestId: string): JournalEntry | undefined {
    return this.find(requestId);
  }

  /** All journal entries: first the unsuccessful requests, then the others, each newest first. */
  public entries(): readonly JournalEntry[] {
    const newestFirst = (entries: Map<string, MutableJournalEntry>): MutableJournalEntry[] =>
      [...entries.values()].reverse();
    return [...newestFirst(this.unsuccessful), ...newestFirst(this.recent)];
  }

  private find(requestId: string): MutableJournalEntry | undefined {
    return this.recent.get(requestId) ?? this.unsuccessful.get(requestId);
  }

  private createEntry(requestId: string, step: RequestStep): MutableJournalEntry | undefined {
    const isRefusedOnReceipt = step.kind === 'concluded' && step.outcome.kind !== 'answered';
    if (step.kind !== 'received' && step.kind !== 'sent' && !isRefusedOnReceipt) return undefined;
    const entry: MutableJournalEntry = { omittedSteps: 0, requestId, steps: [] };
    this.recent.set(requestId, entry);
    evictOldest(this.recent, this.bounds.recentRequests);
    return entry;
  }

  private moveToUnsuccessful(entry: MutableJournalEntry): void {
    this.recent.delete(entry.requestId);
    this.unsuccessful.set(entry.requestId, entry);
    evictOldest(this.unsuccessful, this.bounds.unsuccessfulRequests);
  }
}

/** Whether this node recorded the request as its entry, not as the home of its key. */
export function isRecordedByEntry({ steps }: Pick<JournalEntry, 'steps'>): boolean {
  return steps[0]?.step.kind !== 'sent';
}

function isUnsuccessful(entry: MutableJournalEntry, step: RequestStep): boolean {
  if (step.kind === 'concluded') return step.outcome.kind !== 'answered';
  // The home of a key does not receive the conclusion; its own steps show why the entry got no answer.
  return !isRecordedByEntry(entry) && (step.kind === 'refused' || step.kind === 'failed');
}
