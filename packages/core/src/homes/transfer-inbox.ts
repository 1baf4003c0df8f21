import type { RecordsTransferFrame } from '../messages/frames.js';
import type { HomeTable, KeyRecord } from '../messages/home-table.js';
import type { TenureBounds } from './key-rules.js';
import type { KeyStore } from './key-store.js';
import { scopeOf } from './range-tenure.js';

/** The records of one range as an earlier home sent them. */
export interface ReceivedTransfer {
  readonly bounds: TenureBounds;
  readonly records: readonly KeyRecord[];
}

interface StagedTransfer {
  readonly from: string;
  readonly transfer: string;
  readonly parts: Map<number, readonly KeyRecord[]>;
  bounds: TenureBounds;
  lastPart: number | undefined;
}

/** Keeps transfers until a table names them; one for each range. */
export class TransferInbox {
  private readonly staged = new Map<string, StagedTransfer>();

  public constructor(private readonly records: KeyStore) {}

  /** Stages a part; returns false when there is no room for it, and it must not be acknowledged. */
  public receive(from: string, frame: RecordsTransferFrame, wall: number): boolean {
    const needed = this.stagedRecords() + frame.records.length;
    if (!this.records.makeRoomFor(needed, wall)) return false;
    const { cutoff, forgottenUntil, voidUntil } = frame;
    const bounds = { cutoff, forgottenUntil, voidUntil };
    const scope = scopeOf(frame.service, frame.range);
    let staged = this.staged.get(scope);
    if (staged?.transfer !== frame.transfer) {
      staged = {
        bounds,
        from,
        lastPart: undefined,
        parts: new Map(),
        transfer: frame.transfer,
      };
      this.staged.set(scope, staged);
    }
    staged.parts.set(frame.part, frame.records);
    staged.bounds = bounds;
    if (frame.last) staged.lastPart = frame.part;
    return true;
  }

  /** Removes and returns a whole transfer. */
  public take(scope: string, transfer: string | undefined): ReceivedTransfer | undefined {
    const staged = this.staged.get(scope);
    if (transfer === undefined || staged?.transfer !== transfer) return undefined;
    if (staged.lastPart === undefined || staged.parts.size !== staged.lastPart + 1)
      return undefined;
    this.staged.delete(scope);
    return { bounds: staged.bounds, records: [...staged.parts.values()].flat() };
  }

  /** Drops transfers that no later table can name, because their sender is no longer the home. */
  public tableAdopted(table: HomeTable): void {
    for (const [range, assignment] of table.ranges.entries()) {
      const scope = scopeOf(table.service, range);
      const staged = this.staged.get(scope);
      if (staged === undefined || assignment?.transfer === staged.transfer) continue;
      if (assignment?.server !== staged.from) this.staged.delete(scope);
    }
  }

  private stagedRecords(): number {
    let count = 0;
    for (const { parts } of this.staged.values()) {
      for (const records of parts.values()) count += records.length;
    }
    return count;
  }
}
