import type { HomeTable } from '../messages/home-table.js';
import type { StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { HomeOutbox } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';
import { parseTable } from './table-view.js';

/** What the proposer asks its service. */
export interface TablePlanner {
  /** The table that should follow, or undefined when nothing is to be changed. */
  plan(current: HomeTable | undefined, now: ClockReading): HomeTable | undefined;
  /** A table is sent to the store; it may take effect even if no answer comes. */
  writing(table: HomeTable): void;
  /** The store holds this table. `isOwn`: this node has just written it. */
  committed(table: HomeTable, isOwn: boolean, now: ClockReading): void;
}

interface PendingOperation {
  readonly operationId: number;
  readonly startedAt: number;
  readonly written?: HomeTable | undefined;
}

/** Writes tables of one service by compare-and-swap; every write is planned on a table just read. */
export class TableProposer {
  private pending: PendingOperation | undefined;
  private notBefore = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly service: string,
    private readonly settings: HomeSettings,
    private readonly outbox: HomeOutbox,
    private readonly planner: TablePlanner,
  ) {}

  /** Reads the table if no operation is under way; a write follows if the plan asks for one. */
  public wake(now: ClockReading): void {
    if (this.pending !== undefined || now.monotonic < this.notBefore) return;
    const operationId = this.outbox.store({ key: homeTableKey(this.service), kind: 'read' });
    this.pending = { operationId, startedAt: now.monotonic };
  }

  /** When an operation without a result is given up. */
  public get nextTickAt(): number {
    const { pending, settings } = this;
    if (pending === undefined) return Number.POSITIVE_INFINITY;
    return pending.startedAt + settings.storeTimeoutMilliseconds;
  }

  /** Gives an operation up that got no result in time. */
  public tick(now: ClockReading): void {
    const { pending } = this;
    if (pending === undefined) return;
    if (now.monotonic < pending.startedAt + this.settings.storeTimeoutMilliseconds) return;
    this.failed(now);
  }

  /** Takes a result; returns false when it belongs to no operation of this proposer. */
  public storeResult(operationId: number, result: StoreResult, now: ClockReading): boolean {
    const { pending } = this;
    if (pending?.operationId !== operationId) return false;
    this.pending = undefined;
    switch (result.kind) {
      case 'written':
        if (pending.written !== undefined) this.planner.committed(pending.written, true, now);
        break;
      case 'found':
        this.proceed(result.entry.value, result.entry.version, now);
        break;
      case 'missing':
        this.write(undefined, 0, now);
        break;
      case 'conflict':
        if (result.entry !== undefined) {
          this.proceed(result.entry.value, result.entry.version, now);
        }
        break;
      // A proposer lists nothing, so such an answer says as little as none.
      case 'listed':
      case 'unknown':
        this.failed(now);
        break;
    }
    return true;
  }

  private proceed(value: string, storeVersion: number, now: ClockReading): void {
    const table = parseTable(value);
    if (table === undefined) {
      this.outbox.count('home_table_malformed', { service: this.service });
      this.failed(now);
      return;
    }
    this.planner.committed(table, false, now);
    this.write(table, storeVersion, now);
  }

  private write(current: HomeTable | undefined, expectedVersion: number, now: ClockReading): void {
    const table = this.planner.plan(current, now);
    if (table === undefined) return;
    this.planner.writing(table);
    const operationId = this.outbox.store({
      expectedVersion,
      key: homeTableKey(this.service),
      kind: 'compare-and-swap',
      value: JSON.stringify(table),
    });
    this.pending = { operationId, startedAt: now.monotonic, written: table };
  }

  private failed(now: ClockReading): void {
    this.pending = undefined;
    this.notBefore = now.monotonic + this.settings.storeRetryMilliseconds;
    this.outbox.count('home_store_unknown', { service: this.service });
  }
}

/** The store's key of a service's home table. */
export function homeTableKey(service: string): string {
  return `homes/${service}`;
}
