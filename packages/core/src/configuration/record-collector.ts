import { maximumDeletedKeys, type StoreEntry, type StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { StoreRequests } from '../shared/store-requests.js';
import type { Timers } from '../shared/timers.js';
import { isRecord } from './field-checks.js';
import { ReferenceReader, type PassRequest, type RecordReferences } from './record-references.js';
import { collectedPrefixes, collectionKey, rootKey } from './store-layout.js';

/**
 * Time from the listing of an unreferenced record to its deletion, and between passes. A proposal ends
 * after 10 s and a watcher reads the root every 60 s, so a slow reader still finds what it reads.
 */
export const defaultCollectionIntervalMilliseconds = 300_000;
/** Intervals without a write of the collector after which another node takes over. */
const idleIntervals = 2;
/** Keys in one answer of the store, about 200 KB. */
const keysPerList = 1_000;
/** Lists in one pass; a backlog of any length is worked off 8,000 keys at a time. */
const listsPerPass = 8;
/** Times that a pass reads the root again because it moved during a deletion. */
const rootReadsPerPass = 10;

const [firstKey] = collectedPrefixes;
/** The character after `/` ends the range of the last prefix. */
const endKey = 'configuration/service0';

/** What a collector works with. */
export interface RecordCollectorParts {
  readonly requests: StoreRequests;
  readonly timers: Timers;
  /** Names this node in the collection record. */
  readonly server: string;
  readonly intervalMilliseconds: number;
  readonly deleted: (records: number) => void;
  readonly malformed: (key: string) => void;
}

/**
 * Deletes records that no root refers to. Each deletion is one transaction that requires the root whose
 * references were read, and that writes the collection record, which every commit requires unchanged.
 * So a root in the store never refers to a deleted record, however late a write takes effect.
 */
export class RecordCollector {
  private isActive = false;
  private generation = 0;
  /** Unreferenced records that the last pass listed. */
  private candidates: readonly string[] = [];
  private cursor: string = firstKey;
  /** Version of the collection record that this node wrote or read last. */
  private version = 0;
  private idle: { readonly version: number; readonly intervals: number } | undefined;
  private rootReads = 0;
  private readonly references: ReferenceReader;

  public constructor(private readonly parts: RecordCollectorParts) {
    this.references = new ReferenceReader({
      request: this.request,
      malformed: parts.malformed,
      failed: (now) => {
        this.endPass(now);
      },
    });
  }

  /** Whether this node may collect; of the nodes that may, one does. */
  public setActive(active: boolean, now: ClockReading): void {
    if (active === this.isActive) return;
    this.isActive = active;
    this.generation += 1;
    this.candidates = [];
    this.idle = undefined;
    if (active) this.endPass(now);
  }

  /** The interval runs from the end of a pass, so that no candidate is deleted earlier. */
  private endPass(now: ClockReading): void {
    const { generation } = this;
    this.parts.timers.after(now, this.parts.intervalMilliseconds, (later) => {
      if (generation === this.generation) this.startPass(later);
    });
  }

  private startPass(now: ClockReading): void {
    this.rootReads = 0;
    this.request({ kind: 'read', key: collectionKey }, now, (result, later) => {
      if (result.kind === 'found') this.considerClaim(result.entry, later);
      else if (result.kind === 'missing') this.considerClaim(undefined, later);
      else this.endPass(later);
    });
  }

  private considerClaim(entry: StoreEntry | undefined, now: ClockReading): void {
    const version = entry?.version ?? 0;
    if (entry !== undefined && collectorOf(entry.value) === this.parts.server) {
      this.version = version;
      this.sweep(now);
      return;
    }
    this.candidates = [];
    const intervals = this.idle?.version === version ? this.idle.intervals + 1 : 0;
    this.idle = { version, intervals };
    if (intervals < idleIntervals) {
      this.endPass(now);
      return;
    }
    this.version = version;
    this.write([], undefined, now, (later) => {
      this.sweep(later);
    });
  }

  /** Deletes the candidates of the last pass that are still unreferenced, then lists new ones. */
  private sweep(now: ClockReading): void {
    this.rootReads += 1;
    if (this.rootReads > rootReadsPerPass) {
      this.endPass(now);
      return;
    }
    this.references.read(now, (references, later) => {
      this.candidates = this.candidates.filter((key) => !references.keys.has(key));
      this.deleteBatch(references, later);
    });
  }

  /** Writes the collection record also when nothing is deleted, which keeps the role of collector. */
  private deleteBatch(references: RecordReferences, now: ClockReading): void {
    const batch = this.candidates.slice(0, maximumDeletedKeys);
    this.write(batch, references.rootVersion, now, (later) => {
      this.candidates = this.candidates.slice(batch.length);
      if (batch.length > 0) this.parts.deleted(batch.length);
      if (this.candidates.length > 0) this.deleteBatch(references, later);
      else this.list([], listsPerPass, later);
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
      key: collectionKey,
      expectedVersion: this.version,
      value: JSON.stringify({ collector: this.parts.server }),
      guard: rootVersion === undefined ? undefined : { key: rootKey, version: rootVersion },
      deletedKeys,
    } as const;
    this.request(operation, now, (result, later) => {
      if (result.kind === 'written') {
        this.version = result.version;
        done(later);
      } else if (isRootMoved(result, this.version)) {
        this.sweep(later);
      } else {
        // Another node collects, or the answer was lost; the next pass reads the record again.
        this.endPass(later);
      }
    });
  }

  private list(found: readonly string[], lists: number, now: ClockReading): void {
    const operation = { kind: 'list', key: this.cursor, end: endKey, limit: keysPerList } as const;
    this.request(operation, now, (result, later) => {
      if (result.kind !== 'listed') {
        this.endPass(later);
        return;
      }
      const last = result.keys.at(-1);
      const isComplete = result.isComplete || last === undefined;
      this.cursor = isComplete ? firstKey : `${last}\0`;
      const keys = [...found, ...result.keys.filter(isCollected)];
      if (!isComplete && lists > 1) this.list(keys, lists - 1, later);
      else this.chooseCandidates(keys, later);
    });
  }

  /** The root is read after the list, so a record committed in between is no candidate. */
  private chooseCandidates(keys: readonly string[], now: ClockReading): void {
    this.references.read(now, (references, later) => {
      this.candidates = keys.filter((key) => !references.keys.has(key));
      this.endPass(later);
    });
  }

  private readonly request: PassRequest = (operation, now, use) => {
    const { generation } = this;
    this.parts.requests.start(operation, now, (result, later) => {
      if (generation === this.generation) use(result, later);
    });
  };
}

function isCollected(key: string): boolean {
  return collectedPrefixes.some((prefix) => key.startsWith(prefix));
}

/** A failed guard leaves the written record at the expected version. */
function isRootMoved(result: StoreResult, expectedVersion: number): boolean {
  return result.kind === 'conflict' && (result.entry?.version ?? 0) === expectedVersion;
}

function collectorOf(text: string): string | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isRecord(value) && typeof value.collector === 'string' ? value.collector : undefined;
  } catch {
    return undefined;
  }
}
