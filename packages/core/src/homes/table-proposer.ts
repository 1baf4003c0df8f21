import type { HomeTable } from '../messages/home-table.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { HomeOutbox } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { parseTable } from './table-view.js';

/** Plans the tables that a proposer writes, and is notified of its writes. */
export interface TablePlanner {
  /** Returns the table that should replace `current`, or undefined if it should stay. */
  plan(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined;
  /**
   * A write of this table is being sent to the store. It may take effect even if no result arrives.
   */
  onWriteStarted(table: HomeTable): void;
  /** The store contains this table. `isOwn` is true if this node has just written it. */
  onCommitted(table: HomeTable, isOwn: boolean, now: ClockReading): void;
}

interface PendingOperation {
  readonly operationId: number;
  readonly startedAt: number;
  /** The table being written; undefined for a read. */
  readonly proposedTable?: HomeTable | undefined;
}

/**
 * Writes the table of one service by compare-and-swap. Every write is planned from a table just
 * read.
 */
export class TableProposer {
  private pending: PendingOperation | undefined;
  private nextUpdateAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly service: string,
    private readonly settings: HomeSettings,
    private readonly outbox: HomeOutbox,
    private readonly planner: TablePlanner,
  ) {}

  /**
   * Reads the table unless an operation is in progress. A write follows if the planner returns a
   * new table.
   */
  public startUpdate(now: ClockReading): void {
    if (this.pending !== undefined || now.monotonic < this.nextUpdateAt) return;
    const operationId = this.outbox.store({ key: homeTableKey(this.service), kind: 'read' });
    this.pending = { operationId, startedAt: now.monotonic };
  }

  /** When the operation in progress times out. */
  public get nextTickAt(): number {
    const { pending, settings } = this;
    if (pending === undefined) return Number.POSITIVE_INFINITY;
    return pending.startedAt + settings.storeTimeoutMilliseconds;
  }

  /** Abandons an operation that has had no result within the store timeout. */
  public tick(now: ClockReading): void {
    const { pending } = this;
    if (pending === undefined) return;
    if (now.monotonic < pending.startedAt + this.settings.storeTimeoutMilliseconds) return;
    this.onOperationFailed(now);
  }

  /** Handles the result of an operation. Returns false if it belongs to none of this proposer. */
  public onStoreResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    const { pending } = this;
    if (pending?.operationId !== operationId) return false;
    this.pending = undefined;
    switch (result.kind) {
      case 'written':
        if (pending.proposedTable !== undefined)
          this.planner.onCommitted(pending.proposedTable, true, now);
        break;
      case 'found':
        this.updateFrom(result.entry.value, result.entry.version, now);
        break;
      case 'missing':
        this.write(undefined, 0, now);
        break;
      case 'conflict':
        if (result.entry !== undefined) {
          this.updateFrom(result.entry.value, result.entry.version, now);
        }
        break;
      // This proposer sends no list operations, so a `listed` result is treated as unknown.
      case 'listed':
      case 'unknown':
        this.onOperationFailed(now);
        break;
    }
    return true;
  }

  private updateFrom(value: string, storeVersion: number, now: ClockReading): void {
    const table = parseTable(value);
    if (table === undefined) {
      this.outbox.count('home_table_malformed', { service: this.service });
      this.onOperationFailed(now);
      return;
    }
    this.planner.onCommitted(table, false, now);
    this.write(table, storeVersion, now);
  }

  private write(current: HomeTable | undefined, expectedVersion: number, now: ClockReading): void {
    const table = this.planner.plan(current, now);
    if (table === undefined) return;
    this.planner.onWriteStarted(table);
    const operationId = this.outbox.store({
      expectedVersion,
      key: homeTableKey(this.service),
      kind: 'compare-and-swap',
      value: JSON.stringify(table),
    });
    this.pending = { operationId, startedAt: now.monotonic, proposedTable: table };
  }

  private onOperationFailed(now: ClockReading): void {
    this.pending = undefined;
    this.nextUpdateAt = now.monotonic + this.settings.storeRetryMilliseconds;
    this.outbox.count('home_store_unknown', { service: this.service });
  }
}

/** The key under which the store holds the home table of a service. */
export function homeTableKey(service: string): string {
  return `homes/${service}`;
}
