import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';
import {
  decodePage,
  decodeRoot,
  drainsKey,
  emptyRoot,
  pageKey,
  rootKey,
  serviceKey,
  type PageRecord,
  type RootRecord,
} from './store-layout.js';

/** The keys to which a root refers, directly or through its pages. */
export interface RecordReferences {
  /** Version of the root record from which the references were read. */
  readonly rootVersion: number;
  readonly keys: ReadonlySet<string>;
}

/** Executes a store operation of the current garbage-collection pass. */
export type PassRequest = (
  operation: StoreOperation,
  now: ClockReading,
  use: (result: StoreResult, now: ClockReading) => void,
) => void;

/** Dependencies and callbacks of a reference reader. */
export interface ReferenceReaderDependencies {
  readonly request: PassRequest;
  /** Called if the references could not be read completely. */
  readonly onFailed: (now: ClockReading) => void;
  /** Called if a record in the store can't be decoded. */
  readonly onMalformed: (key: string) => void;
}

/**
 * Reads the keys to which the root refers. Page records are immutable, so known ones are not read
 * again.
 */
export class ReferenceReader {
  private pages = new Map<string, PageRecord>();

  public constructor(private readonly dependencies: ReferenceReaderDependencies) {}

  /** Calls `use` with the complete set of references, or `onFailed`. */
  public read(
    now: ClockReading,
    use: (references: RecordReferences, now: ClockReading) => void,
  ): void {
    this.dependencies.request({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (result.kind === 'missing') {
        use({ rootVersion: 0, keys: referencedKeys(emptyRoot, new Map()) }, later);
        return;
      }
      if (result.kind !== 'found') {
        this.dependencies.onFailed(later);
        return;
      }
      const root = decodeRoot(result.entry.value);
      if (root === undefined) {
        this.failMalformed(rootKey, later);
        return;
      }
      const { version } = result.entry;
      this.readPages(pageKeys(root), new Map(), later, (pages, afterPages) => {
        this.pages = pages;
        use({ rootVersion: version, keys: referencedKeys(root, pages) }, afterPages);
      });
    });
  }

  private readPages(
    keys: readonly string[],
    pages: Map<string, PageRecord>,
    now: ClockReading,
    use: (pages: Map<string, PageRecord>, now: ClockReading) => void,
  ): void {
    const [key, ...rest] = keys;
    if (key === undefined) {
      use(pages, now);
      return;
    }
    const known = this.pages.get(key);
    if (known !== undefined) {
      this.readPages(rest, pages.set(key, known), now, use);
      return;
    }
    this.dependencies.request({ kind: 'read', key }, now, (result, later) => {
      const page = result.kind === 'found' ? decodePage(result.entry.value) : undefined;
      if (page !== undefined) this.readPages(rest, pages.set(key, page), later, use);
      else if (result.kind === 'found') this.failMalformed(key, later);
      else this.dependencies.onFailed(later);
    });
  }

  private failMalformed(key: string, now: ClockReading): void {
    this.dependencies.onMalformed(key);
    this.dependencies.onFailed(now);
  }
}

function pageKeys(root: RootRecord): readonly string[] {
  return root.pages.flatMap((id, index) => (id === undefined ? [] : [pageKey(index, id)]));
}

function referencedKeys(
  root: RootRecord,
  pages: ReadonlyMap<string, PageRecord>,
): ReadonlySet<string> {
  const keys = new Set(pages.keys());
  if (root.drains !== undefined) keys.add(drainsKey(root.drains));
  for (const page of pages.values()) {
    for (const [service, changeId] of page) keys.add(serviceKey(service, changeId));
  }
  return keys;
}
