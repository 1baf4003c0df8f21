import type { HeaderFields } from '../messages/frames.js';
import type { KeyRecord } from '../messages/home-table.js';
import type { UnknownReason } from '../messages/outcome.js';
import { creationTimeOf } from './creation-time.js';
import type { Waiter } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';

/** A key record in memory. */
export interface StoredRecord {
  readonly key: string;
  /** Empty while only a question about the key has been asked. */
  digest: string;
  state: KeyRecord['state'];
  recordedAt: number;
  status: number | undefined;
  unknownReason: UnknownReason | undefined;
  headers: HeaderFields | undefined;
  body: Uint8Array | undefined;
  /** Everyone who gets the outcome of the running attempt; the first one started it. */
  waiters: Waiter[];
}

/** Estimate for a record's fields, its digest and its place in the maps, without key and answer. */
const recordOverheadBytes = 256;
/** Records looked at in one sweep, so that a sweep takes well under a millisecond. */
const recordsPerSweep = 500;

/** The key records of a node, by service and range, within bounds in number, bytes and time. */
export class KeyStore {
  private readonly scopes = new Map<string, Map<string, StoredRecord>>();
  /** Records with a kept answer, oldest first. */
  private readonly withAnswer = new Set<StoredRecord>();
  private bytes = 0;
  private count = 0;
  private sweepPosition: Iterator<[string, StoredRecord]> | undefined;

  public constructor(private readonly settings: HomeSettings) {}

  public get size(): number {
    return this.count;
  }

  public get heldBytes(): number {
    return this.bytes;
  }

  public get(scope: string, key: string): StoredRecord | undefined {
    return this.scopes.get(scope)?.get(key);
  }

  public records(scope: string): readonly StoredRecord[] {
    return [...(this.scopes.get(scope)?.values() ?? [])];
  }

  /** Adds a record, dropping kept answers for it; undefined when there is no room. */
  public add(scope: string, record: StoredRecord): StoredRecord | undefined {
    const added = sizeOf(record);
    if (this.count >= this.settings.maximumRecords) return undefined;
    this.dropAnswers(this.settings.keyRecordBytes - added);
    if (this.bytes + added > this.settings.keyRecordBytes) return undefined;
    this.insert(scope, record);
    return record;
  }

  /** Takes a record over from an earlier home; these are never turned away. */
  public restore(scope: string, record: KeyRecord): void {
    this.insert(scope, {
      body: record.body,
      digest: record.digest,
      headers: record.headers,
      key: record.key,
      recordedAt: record.recordedAt,
      state: record.state,
      status: record.status,
      unknownReason: record.unknownReason,
      waiters: [],
    });
    this.dropAnswers(this.settings.keyRecordBytes);
  }

  /** Whether that many records could be taken over, without their answers if need be. */
  public hasRoomFor(records: number): boolean {
    return this.count + records <= this.settings.maximumRecords;
  }

  /** Keeps an answer with its record if it is small enough. */
  public keepAnswer(
    scope: string,
    record: StoredRecord,
    headers: HeaderFields,
    body: Uint8Array | undefined,
  ): void {
    if (body === undefined || body.length > this.settings.maximumKeptAnswerBytes) return;
    if (this.get(scope, record.key) !== record) return;
    this.bytes -= sizeOf(record);
    record.headers = headers;
    record.body = body;
    this.bytes += sizeOf(record);
    this.withAnswer.add(record);
    this.dropAnswers(this.settings.keyRecordBytes);
  }

  public dropScope(scope: string): void {
    for (const record of this.records(scope)) this.remove(scope, record);
    this.scopes.delete(scope);
  }

  /** Drops some of the records whose protection has ended. */
  public sweep(wall: number): void {
    for (let looked = 0; looked < recordsPerSweep; looked += 1) {
      this.sweepPosition ??= this.allRecords();
      const next = this.sweepPosition.next();
      if (next.done === true) {
        this.sweepPosition = undefined;
        return;
      }
      const [scope, record] = next.value;
      if (this.hasEnded(record, wall)) this.remove(scope, record);
    }
  }

  /** A key is kept until its creation is too old at every node's clock, or the time since its record is. */
  private hasEnded(record: StoredRecord, wall: number): boolean {
    if (record.state === 'running') return false;
    const protectedFrom = Math.max(creationTimeOf(record.key) ?? 0, record.recordedAt);
    const { retentionMilliseconds, skewMilliseconds } = this.settings;
    return wall > protectedFrom + retentionMilliseconds + 2 * skewMilliseconds;
  }

  private *allRecords(): Generator<[string, StoredRecord]> {
    for (const [scope, records] of this.scopes) {
      for (const record of records.values()) yield [scope, record];
    }
  }

  private insert(scope: string, record: StoredRecord): void {
    let records = this.scopes.get(scope);
    if (records === undefined) {
      records = new Map();
      this.scopes.set(scope, records);
    }
    const replaced = records.get(record.key);
    if (replaced !== undefined) this.remove(scope, replaced);
    records.set(record.key, record);
    this.count += 1;
    this.bytes += sizeOf(record);
    if (record.body !== undefined) this.withAnswer.add(record);
  }

  private remove(scope: string, record: StoredRecord): void {
    if (this.scopes.get(scope)?.delete(record.key) !== true) return;
    this.withAnswer.delete(record);
    this.count -= 1;
    this.bytes -= sizeOf(record);
  }

  private dropAnswers(allowedBytes: number): void {
    for (const record of this.withAnswer) {
      if (this.bytes <= allowedBytes) return;
      this.bytes -= sizeOf(record);
      record.body = undefined;
      record.headers = undefined;
      this.bytes += sizeOf(record);
      this.withAnswer.delete(record);
    }
  }
}

function sizeOf(record: StoredRecord): number {
  const headers = record.headers === undefined ? 0 : JSON.stringify(record.headers).length;
  const answer = headers + (record.body?.length ?? 0);
  return recordOverheadBytes + record.key.length + answer;
}
