import type { RecordsTransferFrame } from '../messages/frames.js';
import type { HomeTable, KeyRecord } from '../messages/home-table.js';
import type { RangeTimeBounds } from './key-rules.js';
import type { KeyRecordStore } from './key-record-store.js';
import { rangeIdOf } from './local-range.js';

/** The key records of one range and the time bounds of its new keys, as sent by its earlier home. */
export interface ReceivedTransfer {
  readonly bounds: RangeTimeBounds;
  readonly records: readonly KeyRecord[];
}

interface StagedTransfer {
  readonly from: string;
  readonly transfer: string;
  readonly parts: Map<number, readonly KeyRecord[]>;
  bounds: RangeTimeBounds;
  lastPart: number | undefined;
}

/**
 * Stages transferred records, at most one transfer per range, until a table names their transfer.
 */
export class TransferInbox {
  private readonly staged = new Map<string, StagedTransfer>();

  public constructor(private readonly records: KeyRecordStore) {}

  /**
   * Stages a part of a transfer. Returns false if there is no room; the part must not be
   * acknowledged then.
   */
  public receive(from: string, frame: RecordsTransferFrame, wall: number): boolean {
    const needed = this.stagedRecordCount() + frame.records.length;
    if (!this.records.makeRoomFor(needed, wall)) return false;
    const { cutoff, forgottenUntil, voidUntil } = frame;
    const bounds = { cutoff, forgottenUntil, voidUntil };
    const rangeId = rangeIdOf(frame.service, frame.range);
    let staged = this.staged.get(rangeId);
    if (staged?.transfer !== frame.transfer) {
      staged = {
        bounds,
        from,
        lastPart: undefined,
        parts: new Map(),
        transfer: frame.transfer,
      };
      this.staged.set(rangeId, staged);
    }
    staged.parts.set(frame.part, frame.records);
    staged.bounds = bounds;
    if (frame.last) staged.lastPart = frame.part;
    return true;
  }

  /** Removes and returns a transfer, if it is complete. */
  public takeComplete(rangeId: string, transfer: string | undefined): ReceivedTransfer | undefined {
    const staged = this.staged.get(rangeId);
    if (transfer === undefined || staged?.transfer !== transfer) return undefined;
    if (staged.lastPart === undefined || staged.parts.size !== staged.lastPart + 1)
      return undefined;
    this.staged.delete(rangeId);
    return { bounds: staged.bounds, records: [...staged.parts.values()].flat() };
  }

  /**
   * Drops transfers that no later table can name, because their sender is not the home any more.
   */
  public onTableAdopted(table: HomeTable): void {
    for (const [range, assignment] of table.ranges.entries()) {
      const rangeId = rangeIdOf(table.service, range);
      const staged = this.staged.get(rangeId);
      if (staged === undefined || assignment?.transfer === staged.transfer) continue;
      if (assignment?.server !== staged.from) this.staged.delete(rangeId);
    }
  }

  private stagedRecordCount(): number {
    let count = 0;
    for (const { parts } of this.staged.values()) {
      for (const records of parts.values()) count += records.length;
    }
    return count;
  }
}
