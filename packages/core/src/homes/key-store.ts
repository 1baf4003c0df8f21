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
/** Records that are forgotten at a time when there is no room for a new key. */
const recordsPerForgetting = 256;
/** Time until the next try when no key was old enough, so that refusals stay cheap. */
const forgettingPauseMilliseconds = 100;

/** The key records of a node, by service and range, within bounds in number, bytes and time. */
export class KeyStore {
  private readonly scopes = new Map<string, Map<string, StoredRecord>>();
  /** Records with a kept answer, oldest first. */
  private readonly withAnswer = new Set<StoredRecord>();
  /** Latest creation time of a key that was forgotten early, by service and range. */
  private readonly forgottenUntilOf = new Map<string, number>();
  private bytes = 0;
  private count = 0;
  private forgotten = 0;
  private nextForgettingAt = Number.NEGATIVE_INFINITY;
  private sweepPosition: Iterator<[string, StoredRecord]> | undefined;

  public constructor(private readonly settings: HomeSettings) {}

  public get size(): number {
    return this.count;
  }

  public get heldBytes(): number {
    return this.bytes;
  }

  /** Keys that were forgotten before their retention time, for lack of room. */
  public get forgottenKeys(): number {
    return this.forgotten;
  }

  /** Keys of this range created at or before this wall time may have run and been forgotten. */
  public forgottenUntil(scope: string): number | undefined {
    return this.forgottenUntilOf.get(scope);
  }

  /** Takes over what an earlier home has forgotten. */
  public restoreForgotten(scope: string, until: number | undefined): void {
    if (until !== undefined) this.raiseForgottenUntil(scope, until);
  }

  public get(scope: string, key: string): StoredRecord | undefined {
    return this.scopes.get(scope)?.get(key);
  }

  public records(scope: string): readonly StoredRecord[] {
    return [...(this.scopes.get(scope)?.values() ?? [])];
  }

  /** Adds a new record, dropping kept answers and old keys for it; undefined when there is no room. */
  public add(scope: string, record: StoredRecord): StoredRecord | undefined {
    const isPlaced =
      this.hasRoom(record) || (this.forgetSome(record.recordedAt) && this.hasRoom(record));
    if (!isPlaced) return undefined;
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

  /** Whether that many records could be taken over, without their answers and old keys if need be. */
  public makeRoomFor(records: number, wall: number): boolean {
    const { maximumRecords } = this.settings;
    while (this.count + records > maximumRecords) {
      if (!this.forgetSome(wall)) return false;
    }
    return true;
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
    this.forgottenUntilOf.delete(scope);
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

  private hasRoom(record: StoredRecord): boolean {
    const { keyRecordBytes, maximumRecords } = this.settings;
    if (this.count >= maximumRecords) return false;
    const added = sizeOf(record);
    this.dropAnswers(keyRecordBytes - added);
    return this.bytes + added <= keyRecordBytes;
  }

  /** Forgets some of the oldest keys of the largest range that has any; false when there are none. */
  private forgetSome(wall: number): boolean {
    if (wall < this.nextForgettingAt) return false;
    const largestFirst = [...this.scopes].sort(([, left], [, right]) => right.size - left.size);
    const hasForgotten = largestFirst.some(([scope, records]) =>
      this.forgetOldest(scope, records, wall),
    );
    if (!hasForgotten) this.nextForgettingAt = wall + forgettingPauseMilliseconds;
    return hasForgotten;
  }

  /**
   * A key with a creation time may be forgotten early, because every key created until then is
   * answered as too old from now on. Other keys can't be told from new ones, so they stay.
   */
  private forgetOldest(scope: string, records: Map<string, StoredRecord>, wall: number): boolean {
    const oldestKept = wall - this.settings.minimumRetentionMilliseconds;
    const staying: StoredRecord[] = [];
    const before = this.count;
    for (const record of [...take(records.values(), recordsPerForgetting)]) {
      const createdAt = creationTimeOf(record.key);
      const isOld = Math.max(createdAt ?? wall, record.recordedAt) <= oldestKept;
      if (createdAt === undefined || !isOld || record.state === 'running') {
        staying.push(record);
        continue;
      }
      this.raiseForgottenUntil(scope, createdAt);
      this.remove(scope, record);
    }
    // They go to the end, so that the next call does not look at them first again.
    for (const record of staying) {
      records.delete(record.key);
      records.set(record.key, record);
    }
    this.forgotten += before - this.count;
    return this.count < before;
  }

  private raiseForgottenUntil(scope: string, until: number): void {
    this.forgottenUntilOf.set(scope, Math.max(until, this.forgottenUntilOf.get(scope) ?? until));
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

function* take<Value>(values: Iterable<Value>, count: number): Generator<Value> {
  let taken = 0;
  for (const value of values) {
    if (taken === count) return;
    taken += 1;
    yield value;
  }
}
