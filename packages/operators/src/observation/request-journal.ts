import type { AttemptStep, CallOutcome, RequestClass } from '@peridotspring/core';

import { dropOldest } from './bounded-map.js';

/** A step of a request, as its entry or the home of its key saw it. */
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
      /** What the entry found wrong with a request that it refused itself. */
      readonly detail?: string | undefined;
    };

/** A step with its time. */
export interface JournalStep {
  /** Wall time. */
  readonly at: number;
  readonly step: RequestStep;
}

/** A request and its steps in the order in which they happened. */
export interface JournalEntry {
  readonly requestId: string;
  readonly steps: readonly JournalStep[];
  /** Steps that were left out because the entry was full. */
  readonly omittedSteps: number;
}

interface OpenEntry {
  readonly requestId: string;
  readonly steps: JournalStep[];
  omittedSteps: number;
}

/** Bounds of a journal. */
export interface JournalBounds {
  /** Requests in progress and answered ones. */
  readonly recentRequests: number;
  /** Refused requests and such with an unknown outcome. */
  readonly unsuccessfulRequests: number;
  readonly stepsPerRequest: number;
}

/**
 * An entry with three attempts takes about 1 KB, so these bounds keep the journal near 4 MB of the
 * 64 MB that a node may use for control.
 */
export const defaultJournalBounds: JournalBounds = {
  recentRequests: 2_048,
  stepsPerRequest: 24,
  unsuccessfulRequests: 2_048,
};

/**
 * Remembers recent requests with every attempt. Unsuccessful requests have a ring of their own, so
 * that a stream of answered ones doesn't displace the ones an operator asks about.
 */
export class RequestJournal {
  private readonly recent = new Map<string, OpenEntry>();
  private readonly unsuccessful = new Map<string, OpenEntry>();

  public constructor(private readonly bounds: JournalBounds = defaultJournalBounds) {}

  /**
   * Adds a step. An entry is opened by the receipt of a request, by an attempt that a home sends on, and
   * by the conclusion of a request that was refused on receipt; other steps of forgotten requests are
   * dropped.
   */
  public record(requestId: string, step: RequestStep, at: number): void {
    const entry = this.find(requestId) ?? this.open(requestId, step);
    if (entry === undefined) return;
    // The conclusion is kept even when the entry is full: it says what the caller was told.
    if (entry.steps.length < this.bounds.stepsPerRequest || step.kind === 'concluded') {
      entry.steps.push({ at, step });
    } else {
      entry.omittedSteps += 1;
    }
    if (isUnsuccessful(entry, step)) this.keepLonger(entry);
  }

  /** The entry of a request, if it is still remembered. */
  public entry(requestId: string): JournalEntry | undefined {
    return this.find(requestId);
  }

  /** All remembered requests, the unsuccessful ones first, newest first within each. */
  public entries(): readonly JournalEntry[] {
    const newestFirst = (entries: Map<string, OpenEntry>): OpenEntry[] =>
      [...entries.values()].reverse();
    return [...newestFirst(this.unsuccessful), ...newestFirst(this.recent)];
  }

  private find(requestId: string): OpenEntry | undefined {
    return this.recent.get(requestId) ?? this.unsuccessful.get(requestId);
  }

  private open(requestId: string, step: RequestStep): OpenEntry | undefined {
    const isRefusedOnReceipt = step.kind === 'concluded' && step.outcome.kind !== 'answered';
    if (step.kind !== 'received' && step.kind !== 'sent' && !isRefusedOnReceipt) return undefined;
    const entry: OpenEntry = { omittedSteps: 0, requestId, steps: [] };
    this.recent.set(requestId, entry);
    dropOldest(this.recent, this.bounds.recentRequests);
    return entry;
  }

  private keepLonger(entry: OpenEntry): void {
    this.recent.delete(entry.requestId);
    this.unsuccessful.set(entry.requestId, entry);
    dropOldest(this.unsuccessful, this.bounds.unsuccessfulRequests);
  }
}

/** Whether this node was the entry of the request; otherwise it is the home of the request's key. */
export function isEntryOf({ steps }: Pick<JournalEntry, 'steps'>): boolean {
  return steps[0]?.step.kind !== 'sent';
}

function isUnsuccessful(entry: OpenEntry, step: RequestStep): boolean {
  if (step.kind === 'concluded') return step.outcome.kind !== 'answered';
  // A home is not told the conclusion, and its own steps say why its entry got none.
  return !isEntryOf(entry) && (step.kind === 'refused' || step.kind === 'failed');
}
