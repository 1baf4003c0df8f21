import { maximumDeletedKeys, type StoreEntry, type StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import { isPlainObject } from './field-checks.js';
import { ReferenceReader, type PassRequest, type RecordReferences } from './record-references.js';
import { collectablePrefixes, garbageCollectionKey, rootKey } from './store-layout.js';

/**
 * Time between passes, and thus from finding an unreferenced record to its deletion. A proposal ends
 * after 10 s and a watcher reads the root every 60 s, so slow readers still find the records of an
 * older root.
 */
export const defaultGarbageCollectionIntervalMilliseconds = 300_000;
/** Intervals without a write by the collecting node after which another node takes over. */
const takeoverIdleIntervals = 2;
/** Keys requested per list operation; they take about 200 KB. */
const maximumKeysPerList = 1_000;
/** List operations per pass; a longer backlog is processed 8,000 keys per pass. */
const maximumListsPerPass = 8;
/** Limit on reading the root in one pass; it is read again if it changed during a deletion. */
const maximumRootReadsPerPass = 10;

const [firstKey] = collectablePrefixes;
/** Exclusive end of the range of the last prefix: `0` is the character after `/`. */
const endKey = 'configuration/service0';

/** Dependencies and callbacks of a garbage collector. */
export interface RecordGarbageCollectorDependencies {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  /** Name of this node, written to the garbage-collection record. */
  readonly server: string;
  readonly intervalMilliseconds: number;
  readonly onDeleted: (records: number) => void;
  readonly onMalformed: (key: string) => void;
}

/**
 * Deletes records that the root doesn't refer to. Each deletion is one transaction that requires the
 * root whose references were read, and that writes the garbage-collection record. Every commit requires
 * that record to be unchanged, so the root never refers to a deleted record, however late a write takes
 * effect.
 */
export class RecordGarbageCollector {
  private isActive = false;
  private generation = 0;
  /** Unreferenced records found by the last pass. */
  private candidates: readonly string[] = [];
  private cursor: string = firstKey;
  /** Version of the garbage-collection record that this node last wrote or read. */
  private recordVersion = 0;
  /** Version of another node's record, and for how many intervals it has been unchanged. */
  private unchangedRecord: { readonly version: number; readonly intervals: number } | undefined;
  private rootReads = 0;
  private readonly references: ReferenceReader;

  public constructor(private readonly dependencies: RecordGarbageCollectorDependencies) {
    this.references = new ReferenceReader({
      request: this.request,
      onMalformed: dependencies.onMalformed,
      onFailed: (now) => {
        this.scheduleNextPass(now);
      },
    });
  }

  /** Sets whether this node may collect garbage; only one of the nodes that may does. */
  public setActive(active: boolean, now: ClockReading): void {
    if (active === this.isActive) return;
    this.isActive = active;
    this.generation += 1;
    this.candidates = [];
    this.unchangedRecord = undefined;
    if (active) this.scheduleNextPass(now);
  }

  /** Ends the pass. The interval starts now, so that no candidate is deleted earlier. */
  private scheduleNextPass(now: ClockReading): void {
    const { generation } = this;
    this.dependencies.timers.schedule(now, this.dependencies.intervalMilliseconds, (later) => {
      if (generation === this.generation) this.startPass(later);
    });
  }

  private startPass(now: ClockReading): void {
    this.rootReads = 0;
    this.request({ kind: 'read', key: garbageCollectionKey }, now, (result, later) => {
      if (result.kind === 'found') this.handleCollectorRecord(result.entry, later);
      else if (result.kind === 'missing') this.handleCollectorRecord(undefined, later);
      else this.scheduleNextPass(later);
    });
  }

  private handleCollectorRecord(entry: StoreEntry | undefined, now: ClockReading): void {
    const version = entry?.version ?? 0;
    if (entry !== undefined && parseCollector(entry.value) === this.dependencies.server) {
      this.recordVersion = version;
      this.sweep(now);
      return;
    }
    this.candidates = [];
    const intervals =
      this.unchangedRecord?.version === version ? this.unchangedRecord.intervals + 1 : 0;
    this.unchangedRecord = { version, intervals };
    if (intervals < takeoverIdleIntervals) {
      this.scheduleNextPass(now);
      return;
    }
    this.recordVersion = version;
    this.write([], undefined, now, (later) => {
      this.sweep(later);
    });
  }

  /** Deletes the candidates of the last pass that are still unreferenced, then lists new ones. */
  private sweep(now: ClockReading): void {
    this.rootReads += 1;
    if (this.rootReads > maximumRootReadsPerPass) {
      this.scheduleNextPass(now);
      return;
    }
    this.references.read(now, (references, later) => {
      this.candidates = this.candidates.filter((key) => !references.keys.has(key));
      this.deleteBatch(references, later);
    });
  }

  /**
   * Writes the garbage-collection record even if nothing is deleted, to keep the role of the
   * collector.
   */
  private deleteBatch(references: RecordReferences, now: ClockReading): void {
    const batch = this.candidates.slice(0, maximumDeletedKeys);
    this.write(batch, references.rootVersion, now, (later) => {
      this.candidates = this.candidates.slice(batch.length);
      if (batch.length > 0) this.dependencies.onDeleted(batch.length);
      if (this.candidates.length > 0) this.deleteBatch(references, later);
      else this.listKeys([], maximumListsPerPass, later);
    });
  }

  private write(
    deletedKeys: readonly string[],
    rootVersion: number | undefined,
    now: ClockReading,
    done: (now: ClockReading) => void,
  ): void {
    const operation = {
      kind: 'compare-and-swap',
      key: garbageCollectionKey,
      expectedVersion: this.recordVersion,
      value: JSON.stringify({ collector: this.dependencies.server }),
      guard: rootVersion === undefined ? undefined : { key: rootKey, version: rootVersion },
      deletedKeys,
    } as const;
    this.request(operation, now, (result, later) => {
      if (result.kind === 'written') {
        this.recordVersion = result.version;
        done(later);
      } else if (hasRootChanged(result, this.recordVersion)) {
        this.sweep(later);
      } else {
        // Another node collects, or the result is unknown; the next pass reads the record again.
        this.scheduleNextPass(later);
      }
    });
  }

  private listKeys(found: readonly string[], remainingLists: number, now: ClockReading): void {
    const operation = {
      kind: 'list',
      key: this.cursor,
      end: endKey,
      limit: maximumKeysPerList,
    } as const;
    this.request(operation, now, (result, later) => {
      if (result.kind !== 'listed') {
        this.scheduleNextPass(later);
        return;
      }
      const last = result.keys.at(-1);
      const isComplete = result.isComplete || last === undefined;
      this.cursor = isComplete ? firstKey : `${last}\0`;
      const keys = [...found, ...result.keys.filter(isCollectable)];
      if (!isComplete && remainingLists > 1) this.listKeys(keys, remainingLists - 1, later);
      else this.chooseCandidates(keys, later);
    });
  }

  /** Reads the root after the list, so that a record committed in between is no candidate. */
  private chooseCandidates(keys: readonly string[], now: ClockReading): void {
    this.references.read(now, (references, later) => {
      this.candidates = keys.filter((key) => !references.keys.has(key));
      this.scheduleNextPass(later);
    });
  }

  private readonly request: PassRequest = (operation, now, use) => {
    const { generation } = this;
    this.dependencies.requests.start(operation, now, (result, later) => {
      if (generation === this.generation) use(result, later);
    });
  };
}

function isCollectable(key: string): boolean {
  return collectablePrefixes.some((prefix) => key.startsWith(prefix));
}

/**
 * Whether only the guard on the root failed: the garbage-collection record has the expected
 * version.
 */
function hasRootChanged(result: StoreResult, expectedVersion: number): boolean {
  return result.kind === 'conflict' && (result.entry?.version ?? 0) === expectedVersion;
}

function parseCollector(text: string): string | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isPlainObject(value) && typeof value.collector === 'string'
      ? value.collector
      : undefined;
  } catch {
    return undefined;
  }
}
