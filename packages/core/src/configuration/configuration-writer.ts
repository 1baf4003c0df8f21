import type { Configuration } from '../messages/service-configuration.js';
import type { StoreEntry } from '../messages/store.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import { changesDrains, type ConfigurationChange } from './configuration-change.js';
import {
  collectionKey,
  decodePage,
  derivedId,
  drainsKey,
  encodeDrains,
  encodePage,
  encodeRoot,
  keptChangeIds,
  pageKey,
  pageOf,
  serviceKey,
  type PageRecord,
  type RootRecord,
} from './store-layout.js';

/** A root record that is ready to be written. */
export interface PreparedRoot {
  /** Version of the root record that it replaces. */
  readonly version: number;
  readonly value: string;
  readonly next: Configuration;
  /** Version of the collection record before the first record of the change was written. */
  readonly collectionVersion: number;
}

/** A change on top of a root. */
export interface PlannedChange {
  readonly root: RootRecord;
  readonly version: number;
  readonly next: Configuration;
  readonly change: ConfigurationChange;
}

/** What the writer works with. */
export interface ConfigurationWriterParts {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly isStopped: () => boolean;
  /** The change can't be written; nothing took effect. */
  readonly refused: (reason: string) => void;
  /** The root refers to a page that is gone, so a newer root must exist. */
  readonly stale: (now: ClockReading) => void;
}

interface NewRecord {
  readonly key: string;
  readonly value: string;
}

/** Writes the records that a new root will refer to. None of them takes effect before the root does. */
export class ConfigurationWriter {
  private readonly backOff: BackOff;

  public constructor(
    private readonly changeId: string,
    private readonly parts: ConfigurationWriterParts,
  ) {
    this.backOff = new BackOff(parts.random, 100, 1_000);
  }

  /**
   * Writes values, then pages, then hands over the root record. The collection record is read first:
   * if its version holds until the commit, none of the records found or written here was deleted.
   */
  public prepare(
    plan: PlannedChange,
    now: ClockReading,
    done: (prepared: PreparedRoot, now: ClockReading) => void,
  ): void {
    this.readCollectionVersion(now, (collectionVersion, later) => {
      this.writeRecords(plan, later, (value, afterRecords) => {
        const { version, next } = plan;
        done({ version, value, next, collectionVersion }, afterRecords);
      });
    });
  }

  private readCollectionVersion(
    now: ClockReading,
    use: (version: number, now: ClockReading) => void,
  ): void {
    this.parts.requests.start({ kind: 'read', key: collectionKey }, now, (result, later) => {
      if (this.parts.isStopped()) return;
      if (result.kind === 'found') use(result.entry.version, later);
      else if (result.kind === 'missing') use(0, later);
      else
        this.retry(later, (time) => {
          this.readCollectionVersion(time, use);
        });
    });
  }

  private writeRecords(
    plan: PlannedChange,
    now: ClockReading,
    done: (rootText: string, now: ClockReading) => void,
  ): void {
    const values: NewRecord[] = [];
    for (const [name, service] of plan.change.services) {
      if (service === undefined) continue;
      values.push({ key: serviceKey(name, this.changeId), value: JSON.stringify(service) });
    }
    this.writeAll(values, now, (afterValues) => {
      this.readPages(plan, afterValues, (pages, afterReads) => {
        const { root, records } = this.buildRoot(plan, pages);
        this.writeAll(records, afterReads, (afterPages) => {
          done(encodeRoot(root), afterPages);
        });
      });
    });
  }

  private buildRoot(
    plan: PlannedChange,
    pages: ReadonlyMap<number, PageRecord>,
  ): { readonly root: RootRecord; readonly records: readonly NewRecord[] } {
    const id = derivedId(this.changeId, plan.root.revision);
    const records: NewRecord[] = [];
    const pageIds = [...plan.root.pages];
    for (const [index, page] of pages) {
      const changed = new Map(page);
      for (const [name, service] of plan.change.services) {
        if (pageOf(name) !== index) continue;
        if (service === undefined) changed.delete(name);
        else changed.set(name, this.changeId);
      }
      pageIds[index] = changed.size === 0 ? undefined : id;
      if (changed.size > 0) records.push({ key: pageKey(index, id), value: encodePage(changed) });
    }
    let { drains } = plan.root;
    if (changesDrains(plan.change)) {
      drains = id;
      records.push({ key: drainsKey(id), value: encodeDrains(plan.next) });
    }
    const changeIds = [...plan.root.changeIds, this.changeId].slice(-keptChangeIds);
    return { root: { revision: plan.next.revision, pages: pageIds, drains, changeIds }, records };
  }

  private readPages(
    plan: PlannedChange,
    now: ClockReading,
    done: (pages: ReadonlyMap<number, PageRecord>, now: ClockReading) => void,
  ): void {
    const pages = new Map<number, PageRecord>();
    const numbers = new Set([...plan.change.services.keys()].map(pageOf));
    let remaining = numbers.size;
    if (remaining === 0) done(pages, now);
    for (const index of numbers) {
      const pageId = plan.root.pages[index];
      const use = (page: PageRecord, later: ClockReading): void => {
        pages.set(index, page);
        remaining -= 1;
        if (remaining === 0) done(pages, later);
      };
      if (pageId === undefined) use(new Map(), now);
      else this.readPage(pageKey(index, pageId), now, use);
    }
  }

  private readPage(
    key: string,
    now: ClockReading,
    use: (page: PageRecord, now: ClockReading) => void,
  ): void {
    this.parts.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (this.parts.isStopped()) return;
      const page = result.kind === 'found' ? decodePage(result.entry.value) : undefined;
      if (page !== undefined) {
        use(page, later);
      } else if (result.kind === 'found') {
        this.parts.refused(`the record ${key} in the store is malformed`);
      } else if (result.kind === 'missing') {
        this.parts.stale(later);
      } else {
        this.retry(later, (time) => {
          this.readPage(key, time, use);
        });
      }
    });
  }

  private writeAll(
    records: readonly NewRecord[],
    now: ClockReading,
    done: (now: ClockReading) => void,
  ): void {
    let remaining = records.length;
    if (remaining === 0) done(now);
    for (const record of records) {
      this.write(record, now, (later) => {
        remaining -= 1;
        if (remaining === 0) done(later);
      });
    }
  }

  /** Creates a record; a lost answer is resolved by reading. */
  private write(record: NewRecord, now: ClockReading, done: (now: ClockReading) => void): void {
    const operation = { kind: 'compare-and-swap', expectedVersion: 0, ...record } as const;
    this.parts.requests.start(operation, now, (result, later) => {
      if (this.parts.isStopped()) return;
      if (result.kind === 'written') done(later);
      else if (result.kind === 'conflict') this.checkExisting(record, result.entry, later, done);
      else this.resolve(record, later, done);
    });
  }

  private resolve(record: NewRecord, now: ClockReading, done: (now: ClockReading) => void): void {
    this.parts.requests.start({ kind: 'read', key: record.key }, now, (result, later) => {
      if (this.parts.isStopped()) return;
      if (result.kind === 'found') this.checkExisting(record, result.entry, later, done);
      else if (result.kind === 'missing') this.write(record, later, done);
      else
        this.retry(later, (time) => {
          this.resolve(record, time, done);
        });
    });
  }

  /** A record that exists with the same text was written by an earlier try. */
  private checkExisting(
    record: NewRecord,
    entry: StoreEntry | undefined,
    now: ClockReading,
    done: (now: ClockReading) => void,
  ): void {
    if (entry?.value === record.value) done(now);
    else this.parts.refused(`change identifier ${this.changeId} belongs to another change`);
  }

  private retry(now: ClockReading, action: (now: ClockReading) => void): void {
    this.parts.timers.after(now, this.backOff.next(), (later) => {
      if (!this.parts.isStopped()) action(later);
    });
  }
}
