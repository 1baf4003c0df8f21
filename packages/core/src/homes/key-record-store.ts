import type { HeaderFields } from '../messages/frames.js';
import type { KeyRecord } from '../messages/home-table.js';
import type { UnknownReason } from '../messages/outcome.js';
import { creationTimeOf } from './creation-time.js';
import type { Waiter } from './home-outbox.js';
import type { HomeSettings } from './home-settings.js';

/** A key record as its home holds it in memory. */
export interface InMemoryKeyRecord {
  readonly key: string;
  /** Empty while a question about the key has been answered but no request received. */
  digest: string;
  state: KeyRecord['state'];
  recordedAt: number;
  status: number | undefined;
  unknownReason: UnknownReason | undefined;
  headers: HeaderFields | undefined;
  body: Uint8Array | undefined;
  /** The requests that are replied to when the running attempt ends; the first one started it. */
  waiters: Waiter[];
}

/** Estimated memory of a record without its key and response: fields, digest and map entries. */
const recordOverheadBytes = 256;
/** Records examined per sweep, so that a sweep takes well under a millisecond. */
const recordsPerSweep = 500;
/** Records examined per eviction, when there is no room for a new key. */
const recordsPerEviction = 256;
/** Pause after an eviction that found no key old enough, so that refusing new keys stays cheap. */
const evictionRetryMilliseconds = 100;

/**
 * The key records of a node, by range, in memory. Limits their number, their approximate size and how
 * long they are kept.
 */
export class KeyRecordStore {
  private readonly recordsByRange = new Map<string, Map<string, InMemoryKeyRecord>>();
  /** Records with a recorded response body, oldest first. */
  private readonly withAnswer = new Set<InMemoryKeyRecord>();
  /** Latest creation time among the keys evicted before the end of their retention, by range. */
  private readonly forgottenUntilByRange = new Map<string, number>();
  private bytes = 0;
  private count = 0;
  private evictedCount = 0;
  private nextEvictionAt = Number.NEGATIVE_INFINITY;
  private sweepPosition: Iterator<[string, InMemoryKeyRecord]> | undefined;

  public constructor(private readonly settings: HomeSettings) {}

  public get size(): number {
    return this.count;
  }

  public get approximateBytes(): number {
    return this.bytes;
  }

  /** Number of keys evicted before the end of their retention time. */
  public get evictedKeys(): number {
    return this.evictedCount;
  }

  /** Keys of this range created at or before this wall time may have run and been evicted. */
  public forgottenUntil(rangeId: string): number | undefined {
    return this.forgottenUntilByRange.get(rangeId);
  }

  /** Applies the bound that an earlier home of the range had for its evicted keys. */
  public restoreForgottenUntil(rangeId: string, until: number | undefined): void {
    if (until !== undefined) this.raiseForgottenUntil(rangeId, until);
  }

  public get(rangeId: string, key: string): InMemoryKeyRecord | undefined {
    return this.recordsByRange.get(rangeId)?.get(key);
  }

  public records(rangeId: string): readonly InMemoryKeyRecord[] {
    return [...(this.recordsByRange.get(rangeId)?.values() ?? [])];
  }

  /**
   * Adds a new record, dropping recorded responses and then old keys if there is no room. Returns
   * undefined if that isn't enough.
   */
  public add(rangeId: string, record: InMemoryKeyRecord): InMemoryKeyRecord | undefined {
    const hasSpace =
      this.hasRoom(record) || (this.evictSome(record.recordedAt) && this.hasRoom(record));
    if (!hasSpace) return undefined;
    this.insert(rangeId, record);
    return record;
  }

  /** Adds a record that an earlier home handed over. Such records are never rejected. */
  public restore(rangeId: string, record: KeyRecord): void {
    this.insert(rangeId, {
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

  /**
   * Evicts old keys until there is room for this many more records; returns false if that fails.
   */
  public makeRoomFor(records: number, wall: number): boolean {
    const { maximumRecords } = this.settings;
    while (this.count + records > maximumRecords) {
      if (!this.evictSome(wall)) return false;
    }
    return true;
  }

  /** Adds a response to its record if it is small enough. */
  public keepAnswer(
    rangeId: string,
    record: InMemoryKeyRecord,
    headers: HeaderFields,
    body: Uint8Array | undefined,
  ): void {
    if (body === undefined || body.length > this.settings.maximumKeptAnswerBytes) return;
    if (this.get(rangeId, record.key) !== record) return;
    this.bytes -= sizeOf(record);
    record.headers = headers;
    record.body = body;
    this.bytes += sizeOf(record);
    this.withAnswer.add(record);
    this.dropAnswers(this.settings.keyRecordBytes);
  }

  public dropRange(rangeId: string): void {
    for (const record of this.records(rangeId)) this.remove(rangeId, record);
    this.recordsByRange.delete(rangeId);
    this.forgottenUntilByRange.delete(rangeId);
  }

  /**
   * Examines some of the records and removes the expired ones. The next sweep continues from there.
   */
  public sweep(wall: number): void {
    for (let examined = 0; examined < recordsPerSweep; examined += 1) {
      this.sweepPosition ??= this.allRecords();
      const next = this.sweepPosition.next();
      if (next.done === true) {
        this.sweepPosition = undefined;
        return;
      }
      const [rangeId, record] = next.value;
      if (this.isExpired(record, wall)) this.remove(rangeId, record);
    }
  }

  /**
   * A record is kept for the retention time after its last change or the creation of its key, whichever
   * is later, plus twice the clock skew: by then the key is too old by the clock of every node.
   */
  private isExpired(record: InMemoryKeyRecord, wall: number): boolean {
    if (record.state === 'running') return false;
    const retainedSince = Math.max(creationTimeOf(record.key) ?? 0, record.recordedAt);
    const { retentionMilliseconds, maximumClockSkewMilliseconds } = this.settings;
    return wall > retainedSince + retentionMilliseconds + 2 * maximumClockSkewMilliseconds;
  }

  private hasRoom(record: InMemoryKeyRecord): boolean {
    const { keyRecordBytes, maximumRecords } = this.settings;
    if (this.count >= maximumRecords) return false;
    const added = sizeOf(record);
    this.dropAnswers(keyRecordBytes - added);
    return this.bytes + added <= keyRecordBytes;
  }

  /**
   * Evicts some of the oldest keys of the largest range that has evictable ones. Returns false if no
   * range has any.
   */
  private evictSome(wall: number): boolean {
    if (wall < this.nextEvictionAt) return false;
    const largestFirst = [...this.recordsByRange].sort(
      ([, left], [, right]) => right.size - left.size,
    );
    const hasEvicted = largestFirst.some(([rangeId, records]) =>
      this.evictOldest(rangeId, records, wall),
    );
    if (!hasEvicted) this.nextEvictionAt = wall + evictionRetryMilliseconds;
    return hasEvicted;
  }

  /**
   * A key with a creation time can be evicted before the end of its retention, because every key of the
   * range created up to that time is from then on answered with an unknown outcome as too old. Without
   * a creation time an evicted key could not be distinguished from a new one, so these keys stay.
   */
  private evictOldest(
    rangeId: string,
    records: Map<string, InMemoryKeyRecord>,
    wall: number,
  ): boolean {
    const evictableUntil = wall - this.settings.minimumRetentionMilliseconds;
    const retained: InMemoryKeyRecord[] = [];
    const before = this.count;
    for (const record of [...take(records.values(), recordsPerEviction)]) {
      const createdAt = creationTimeOf(record.key);
      const isOld = Math.max(createdAt ?? wall, record.recordedAt) <= evictableUntil;
      if (createdAt === undefined || !isOld || record.state === 'running') {
        retained.push(record);
        continue;
      }
      this.raiseForgottenUntil(rangeId, createdAt);
      this.remove(rangeId, record);
    }
    // Moved to the end of the map, so that the next call does not examine them first again.
    for (const record of retained) {
      records.delete(record.key);
      records.set(record.key, record);
    }
    this.evictedCount += before - this.count;
    return this.count < before;
  }

  private raiseForgottenUntil(rangeId: string, until: number): void {
    this.forgottenUntilByRange.set(
      rangeId,
      Math.max(until, this.forgottenUntilByRange.get(rangeId) ?? until),
    );
  }

  private *allRecords(): Generator<[string, InMemoryKeyRecord]> {
    for (const [rangeId, records] of this.recordsByRange) {
      for (const record of records.values()) yield [rangeId, record];
    }
  }

  private insert(rangeId: string, record: InMemoryKeyRecord): void {
    let records = this.recordsByRange.get(rangeId);
    if (records === undefined) {
      records = new Map();
      this.recordsByRange.set(rangeId, records);
    }
    const replaced = records.get(record.key);
    if (replaced !== undefined) this.remove(rangeId, replaced);
    records.set(record.key, record);
    this.count += 1;
    this.bytes += sizeOf(record);
    if (record.body !== undefined) this.withAnswer.add(record);
  }

  private remove(rangeId: string, record: InMemoryKeyRecord): void {
    if (this.recordsByRange.get(rangeId)?.delete(record.key) !== true) return;
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

function sizeOf(record: InMemoryKeyRecord): number {
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
