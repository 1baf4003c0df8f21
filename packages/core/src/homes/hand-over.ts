import type { RecordsReceivedFrame, RecordsTransferFrame } from '../messages/frames.js';
import type { HomeTable, KeyRecord } from '../messages/home-table.js';
import type { ServerIncarnation } from '../messages/identity.js';
import type { HomeSettings } from './home-settings.js';
import type { KeyStore, StoredRecord } from './key-store.js';
import type { RangeTenure } from './range-tenure.js';
import type { RangeTarget } from './table-plan.js';

interface UnacknowledgedPart {
  readonly to: string;
  readonly frame: RecordsTransferFrame;
  sentAt: number;
}

/** Approximate bytes of a record on the wire without its answer. */
const recordWireBytes = 256;

/**
 * Hands ranges over: stops accepting, waits for running attempts, sends the records, and lets the
 * table be written once all are acknowledged. It may be abandoned until the table is being written.
 */
export class HandOver {
  private phase: 'draining' | 'sending' | 'acknowledged' | 'writing' = 'draining';
  private startedSendingAt = 0;
  private readonly unacknowledged = new Map<string, UnacknowledgedPart>();

  public constructor(
    public readonly transfer: string,
    private readonly homes: ReadonlyMap<RangeTenure, ServerIncarnation>,
    private readonly settings: HomeSettings,
    private readonly startedAt: number,
  ) {
    for (const tenure of homes.keys()) tenure.isAccepting = false;
  }

  public get isWriting(): boolean {
    return this.phase === 'writing';
  }

  public get mayBeWritten(): boolean {
    return this.phase === 'acknowledged' || this.phase === 'writing';
  }

  /** The table with this hand-over is sent to the store; from now on it can't be abandoned. */
  public writing(): void {
    this.phase = 'writing';
  }

  public get tenures(): readonly RangeTenure[] {
    return [...this.homes.keys()];
  }

  /** Servers that get a range. */
  public get recipients(): readonly string[] {
    return [...new Set([...this.homes.values()].map(({ server }) => server))];
  }

  /** Where each range goes. */
  public targets(): ReadonlyMap<number, RangeTarget> {
    return new Map(
      [...this.homes].map(([tenure, home]) => [
        tenure.range,
        { home, transfer: tenure.isActivated ? this.transfer : undefined },
      ]),
    );
  }

  /** Whether a table completed this hand-over. */
  public isCompletedBy(table: HomeTable): boolean {
    return [...this.homes].every(([tenure, home]) => {
      const assignment = table.ranges[tenure.range];
      return assignment?.server === home.server && assignment.since > tenure.since;
    });
  }

  /** Starts sending once nothing runs any more, and sends again what is not acknowledged. */
  public tick(
    isRunning: (scope: string) => boolean,
    records: KeyStore,
    monotonic: number,
  ): readonly { readonly to: string; readonly frame: RecordsTransferFrame }[] {
    if (this.phase === 'draining') {
      if (this.tenures.some(({ scope }) => isRunning(scope))) return [];
      this.startSending(records, monotonic);
    }
    if (this.phase !== 'sending') return [];
    if (this.unacknowledged.size === 0) this.phase = 'acknowledged';
    const due = [...this.unacknowledged.values()].filter(({ sentAt }) => sentAt <= monotonic);
    for (const part of due) part.sentAt = monotonic + this.settings.transferResendMilliseconds;
    return due;
  }

  public received(from: string, frame: RecordsReceivedFrame): void {
    if (frame.transfer !== this.transfer) return;
    const name = partName(frame.range, frame.part);
    if (this.unacknowledged.get(name)?.to === from) this.unacknowledged.delete(name);
    if (this.phase === 'sending' && this.unacknowledged.size === 0) this.phase = 'acknowledged';
  }

  /** Whether the transfer has taken too long. A planned stop waits for running attempts, a spread doesn't. */
  public isOverdue(waitsForRunning: boolean, monotonic: number): boolean {
    const { transferTimeoutMilliseconds } = this.settings;
    if (this.phase === 'draining') {
      return !waitsForRunning && monotonic >= this.startedAt + transferTimeoutMilliseconds;
    }
    if (this.phase !== 'sending') return false;
    return monotonic >= this.startedSendingAt + transferTimeoutMilliseconds;
  }

  /** Lets the ranges accept again; only allowed while no write has been sent. */
  public abandon(): void {
    for (const tenure of this.homes.keys()) tenure.isAccepting = true;
  }

  private startSending(records: KeyStore, monotonic: number): void {
    this.phase = 'sending';
    this.startedSendingAt = monotonic;
    for (const [tenure, home] of this.homes) {
      if (!tenure.isActivated) continue;
      const parts = partition(records.records(tenure.scope), this.settings.transferPartBytes);
      const service = tenure.scope.slice(0, tenure.scope.lastIndexOf('/'));
      for (const [part, partRecords] of parts.entries()) {
        const frame: RecordsTransferFrame = {
          cutoff: tenure.bounds.cutoff,
          forgottenUntil: records.forgottenUntil(tenure.scope),
          kind: 'records-transfer',
          last: part === parts.length - 1,
          part,
          range: tenure.range,
          records: partRecords,
          service,
          transfer: this.transfer,
          voidUntil: tenure.bounds.voidUntil,
        };
        const name = partName(tenure.range, part);
        this.unacknowledged.set(name, { frame, sentAt: monotonic, to: home.server });
      }
    }
  }
}

function partName(range: number, part: number): string {
  return `${range}/${part}`;
}

/** Splits records into parts of bounded size; there is always at least one part. */
function partition(records: readonly StoredRecord[], partBytes: number): KeyRecord[][] {
  let current: KeyRecord[] = [];
  const parts = [current];
  let bytes = 0;
  for (const record of records) {
    const size = recordWireBytes + (record.body?.length ?? 0);
    if (current.length > 0 && bytes + size > partBytes) {
      current = [];
      parts.push(current);
      bytes = 0;
    }
    current.push(wireRecord(record));
    bytes += size;
  }
  return parts;
}

function wireRecord(record: StoredRecord): KeyRecord {
  const { body, digest, headers, key, recordedAt, state, status, unknownReason } = record;
  return { body, digest, headers, key, recordedAt, state, status, unknownReason };
}
