import type { Configuration } from '../messages/service-configuration.js';
import type { StoreEntry } from '../messages/store.js';
import { BackOff } from '../shared/back-off.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import { changesDrains, type ConfigurationChange } from './configuration-change.js';
import {
  garbageCollectionKey,
  decodePage,
  derivedRecordId,
  drainsKey,
  encodeDrains,
  encodePage,
  encodeRoot,
  maximumRetainedChangeIds,
  pageKey,
  pageIndexOf,
  serviceKey,
  type PageRecord,
  type RootRecord,
} from './store-layout.js';

/** A root record that is ready to be written, with the versions that its commit requires. */
export interface PreparedRoot {
  /** Version of the root record that it replaces. */
  readonly version: number;
  readonly value: string;
  readonly next: Configuration;
  /** Version of the garbage-collection record before the first record of the change was written. */
  readonly garbageCollectionVersion: number;
}

/** A change to be committed on top of a root. */
export interface PlannedChange {
  readonly root: RootRecord;
  readonly version: number;
  readonly next: Configuration;
  readonly change: ConfigurationChange;
}

/** Dependencies and callbacks of a writer. */
export interface ConfigurationWriterDependencies {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly isStopped: () => boolean;
  /** Called if the change can't be written; nothing has taken effect. */
  readonly onRejected: (reason: string) => void;
  /**
   * Called if the root record refers to a page that was deleted, so that a newer root record must exist.
   */
  readonly onStaleRoot: (now: ClockReading) => void;
}

interface NewRecord {
  readonly key: string;
  readonly value: string;
}

/**
 * Writes the records that a new root record will refer to. They take effect only when the root record is
 * written.
 */
export class ConfigurationWriter {
  private readonly backOff: BackOff;

  public constructor(
    private readonly changeId: string,
    private readonly dependencies: ConfigurationWriterDependencies,
  ) {
    this.backOff = new BackOff(dependencies.random, 100, 1_000);
  }

  /**
   * Writes services, then pages, then passes the root record to `done`. The garbage-collection record is
   * read first: if its version is unchanged at the commit, no record found or written here was deleted.
   */
  public prepare(
    plan: PlannedChange,
    now: ClockReading,
    done: (prepared: PreparedRoot, now: ClockReading) => void,
  ): void {
    this.readGarbageCollectionVersion(now, (collectionVersion, later) => {
      this.writeRecords(plan, later, (value, afterRecords) => {
        const { version, next } = plan;
        done({ version, value, next, garbageCollectionVersion: collectionVersion }, afterRecords);
      });
    });
  }

  private readGarbageCollectionVersion(
    now: ClockReading,
    use: (version: number, now: ClockReading) => void,
  ): void {
    this.dependencies.requests.start(
      { kind: 'read', key: garbageCollectionKey },
      now,
      (result, later) => {
        if (this.dependencies.isStopped()) return;
        if (result.kind === 'found') use(result.entry.version, later);
        else if (result.kind === 'missing') use(0, later);
        else
          this.retryAfterBackOff(later, (time) => {
            this.readGarbageCollectionVersion(time, use);
          });
      },
    );
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
    const id = derivedRecordId(this.changeId, plan.root.revision);
    const records: NewRecord[] = [];
    const pageIds = [...plan.root.pages];
    for (const [index, page] of pages) {
      const changed = new Map(page);
      for (const [name, service] of plan.change.services) {
        if (pageIndexOf(name) !== index) continue;
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
    const changeIds = [...plan.root.changeIds, this.changeId].slice(-maximumRetainedChangeIds);
    return { root: { revision: plan.next.revision, pages: pageIds, drains, changeIds }, records };
  }

  private readPages(
    plan: PlannedChange,
    now: ClockReading,
    done: (pages: ReadonlyMap<number, PageRecord>, now: ClockReading) => void,
  ): void {
    const pages = new Map<number, PageRecord>();
    const numbers = new Set([...plan.change.services.keys()].map(pageIndexOf));
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
    this.dependencies.requests.start({ kind: 'read', key }, now, (result, later) => {
      if (this.dependencies.isStopped()) return;
      const page = result.kind === 'found' ? decodePage(result.entry.value) : undefined;
      if (page !== undefined) {
        use(page, later);
      } else if (result.kind === 'found') {
        this.dependencies.onRejected(`the record ${key} in the store is malformed`);
      } else if (result.kind === 'missing') {
        this.dependencies.onStaleRoot(later);
      } else {
        this.retryAfterBackOff(later, (time) => {
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

  /** Creates a record; if the result of the write is unknown, the record is read. */
  private write(record: NewRecord, now: ClockReading, done: (now: ClockReading) => void): void {
    const operation = { kind: 'compare-and-swap', expectedVersion: 0, ...record } as const;
    this.dependencies.requests.start(operation, now, (result, later) => {
      if (this.dependencies.isStopped()) return;
      if (result.kind === 'written') done(later);
      else if (result.kind === 'conflict') this.checkExisting(record, result.entry, later, done);
      else this.resolveUnknownWrite(record, later, done);
    });
  }

  private resolveUnknownWrite(
    record: NewRecord,
    now: ClockReading,
    done: (now: ClockReading) => void,
  ): void {
    this.dependencies.requests.start({ kind: 'read', key: record.key }, now, (result, later) => {
      if (this.dependencies.isStopped()) return;
      if (result.kind === 'found') this.checkExisting(record, result.entry, later, done);
      else if (result.kind === 'missing') this.write(record, later, done);
      else
        this.retryAfterBackOff(later, (time) => {
          this.resolveUnknownWrite(record, time, done);
        });
    });
  }

  /** A record that exists with the same text was written by an earlier attempt. */
  private checkExisting(
    record: NewRecord,
    entry: StoreEntry | undefined,
    now: ClockReading,
    done: (now: ClockReading) => void,
  ): void {
    if (entry?.value === record.value) done(now);
    else
      this.dependencies.onRejected(`change identifier ${this.changeId} belongs to another change`);
  }

  private retryAfterBackOff(now: ClockReading, action: (now: ClockReading) => void): void {
    this.dependencies.timers.schedule(now, this.backOff.nextDelay(), (later) => {
      if (!this.dependencies.isStopped()) action(later);
    });
  }
}
