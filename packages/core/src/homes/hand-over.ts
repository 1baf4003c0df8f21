import type { RecordsReceivedFrame, RecordsTransferFrame } from '../messages/frames.js';
import type { HomeTable, KeyRecord } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import type { HomeSettings } from './home-settings.js';
import type { KeyRecordStore, InMemoryKeyRecord } from './key-record-store.js';
import type { LocalRange } from './local-range.js';
import type { RangeTarget } from './table-plan.js';

interface UnacknowledgedPart {
  readonly to: string;
  readonly frame: RecordsTransferFrame;
  /** Monotonic time at which the part is sent, or sent again if it has not been acknowledged. */
  dueAt: number;
}

/** Estimated size in bytes of an encoded record without the body of its recorded answer. */
const recordOverheadWireBytes = 256;

/**
 * Hands ranges of this node over to other homes: stops accepting new keys, waits for running
 * attempts to end, sends the key records, and allows the new home table to be written once every part
 * is acknowledged. The hand-over can be abandoned until the write of the table has started.
 */
export class HandOver {
  private phase: 'draining' | 'sending' | 'acknowledged' | 'writing' = 'draining';
  private startedSendingAt = 0;
  private readonly unacknowledged = new Map<string, UnacknowledgedPart>();

  public constructor(
    public readonly transfer: string,
    private readonly newHomes: ReadonlyMap<LocalRange, ServerIncarnation>,
    private readonly settings: HomeSettings,
    private readonly startedAt: number,
  ) {
    for (const localRange of newHomes.keys()) localRange.isAccepting = false;
  }

  public get isWriting(): boolean {
    return this.phase === 'writing';
  }

  public get isReadyForTableWrite(): boolean {
    return this.phase === 'acknowledged' || this.phase === 'writing';
  }

  /**
   * The table that completes this hand-over is being sent to the store. It may take effect even
   * without a reply, so from now on the hand-over can't be abandoned.
   */
  public onWriteStarted(): void {
    this.phase = 'writing';
  }

  public get localRanges(): readonly LocalRange[] {
    return [...this.newHomes.keys()];
  }

  /** Servers that receive at least one range. */
  public get recipients(): readonly string[] {
    return [...new Set([...this.newHomes.values()].map(({ server }) => server))];
  }

  /** The new home of each range, by range number. */
  public targets(): ReadonlyMap<number, RangeTarget> {
    return new Map(
      [...this.newHomes].map(([localRange, home]) => [
        localRange.rangeNumber,
        { home, transfer: localRange.isActivated ? this.transfer : undefined },
      ]),
    );
  }

  /** Whether this table assigns all ranges of the hand-over to their new homes. */
  public isCompletedBy(table: HomeTable): boolean {
    return [...this.newHomes].every(([localRange, home]) => {
      const assignment = table.ranges[localRange.rangeNumber];
      return assignment?.server === home.server && assignment.since > localRange.since;
    });
  }

  /**
   * Starts the transfer once no attempt of these ranges is running, and returns the parts to send now:
   * each is sent again after the resend interval until it is acknowledged.
   */
  public tick(
    hasRunningAttempt: (rangeId: string) => boolean,
    records: KeyRecordStore,
    monotonic: number,
  ): readonly { readonly to: string; readonly frame: RecordsTransferFrame }[] {
    if (this.phase === 'draining') {
      if (this.localRanges.some(({ rangeId }) => hasRunningAttempt(rangeId))) return [];
      this.startSending(records, monotonic);
    }
    if (this.phase !== 'sending') return [];
    if (this.unacknowledged.size === 0) this.phase = 'acknowledged';
    const due = [...this.unacknowledged.values()].filter(({ dueAt }) => dueAt <= monotonic);
    for (const part of due) part.dueAt = monotonic + this.settings.transferResendMilliseconds;
    return due;
  }

  public onRecordsReceived(from: string, frame: RecordsReceivedFrame): void {
    if (frame.transfer !== this.transfer) return;
    const id = partId(frame.range, frame.part);
    if (this.unacknowledged.get(id)?.to === from) this.unacknowledged.delete(id);
    if (this.phase === 'sending' && this.unacknowledged.size === 0) this.phase = 'acknowledged';
  }

  /**
   * Whether the hand-over has timed out. A planned stop waits for running attempts without a limit;
   * rebalancing gives up on them after the transfer timeout.
   */
  public isOverdue(isPlannedStop: boolean, monotonic: number): boolean {
    const { transferTimeoutMilliseconds } = this.settings;
    if (this.phase === 'draining') {
      return !isPlannedStop && monotonic >= this.startedAt + transferTimeoutMilliseconds;
    }
    if (this.phase !== 'sending') return false;
    return monotonic >= this.startedSendingAt + transferTimeoutMilliseconds;
  }

  /**
   * Lets the ranges accept new keys again. Must not be called while a write of the table that gives
   * them away may still take effect.
   */
  public resumeAccepting(): void {
    for (const localRange of this.newHomes.keys()) localRange.isAccepting = true;
  }

  private startSending(records: KeyRecordStore, monotonic: number): void {
    this.phase = 'sending';
    this.startedSendingAt = monotonic;
    for (const [localRange, home] of this.newHomes) {
      if (!localRange.isActivated) continue;
      const parts = splitIntoParts(
        records.records(localRange.rangeId),
        this.settings.transferPartBytes,
      );
      const service = localRange.rangeId.slice(0, localRange.rangeId.lastIndexOf('/'));
      for (const [part, partRecords] of parts.entries()) {
        const frame: RecordsTransferFrame = {
          cutoff: localRange.bounds.cutoff,
          forgottenUntil: records.forgottenUntil(localRange.rangeId),
          kind: 'records-transfer',
          last: part === parts.length - 1,
          part,
          range: localRange.rangeNumber,
          records: partRecords,
          service,
          transfer: this.transfer,
          voidUntil: localRange.bounds.voidUntil,
        };
        const id = partId(localRange.rangeNumber, part);
        this.unacknowledged.set(id, { frame, dueAt: monotonic, to: home.server });
      }
    }
  }
}

function partId(range: number, part: number): string {
  return `${range}/${part}`;
}

/**
 * Splits records into parts of at most `partBytes`, or one larger record; returns at least one
 * part.
 */
function splitIntoParts(records: readonly InMemoryKeyRecord[], partBytes: number): KeyRecord[][] {
  let current: KeyRecord[] = [];
  const parts = [current];
  let bytes = 0;
  for (const record of records) {
    const size = recordOverheadWireBytes + (record.body?.length ?? 0);
    if (current.length > 0 && bytes + size > partBytes) {
      current = [];
      parts.push(current);
      bytes = 0;
    }
    current.push(toKeyRecord(record));
    bytes += size;
  }
  return parts;
}

function toKeyRecord(record: InMemoryKeyRecord): KeyRecord {
  const { body, digest, headers, key, recordedAt, state, status, unknownReason } = record;
  return { body, digest, headers, key, recordedAt, state, status, unknownReason };
}
