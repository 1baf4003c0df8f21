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

/** The keys that a root refers to, directly and through its pages. */
export interface RecordReferences {
  /** Version of the root record that refers to these keys and to no others. */
  readonly rootVersion: number;
  readonly keys: ReadonlySet<string>;
}

/** Carries out a store operation of the current collection pass. */
export type PassRequest = (
  operation: StoreOperation,
  now: ClockReading,
  use: (result: StoreResult, now: ClockReading) => void,
) => void;

/** What a reader of references works with. */
export interface ReferenceReaderParts {
  readonly request: PassRequest;
  /** The references could not be read as a whole. */
  readonly failed: (now: ClockReading) => void;
  /** A record in the store can't be decoded. */
  readonly malformed: (key: string) => void;
}

/** Reads what the root refers to; pages never change, so only new ones are read. */
export class ReferenceReader {
  private pages = new Map<string, PageRecord>();

  public constructor(private readonly parts: ReferenceReaderParts) {}

  /** Calls `use` with the whole set of references, or reports the failure. */
  public read(
    now: ClockReading,
    use: (references: RecordReferences, now: ClockReading) => void,
  ): void {
    this.parts.request({ kind: 'read', key: rootKey }, now, (result, later) => {
      if (result.kind === 'missing') {
        use({ rootVersion: 0, keys: referencedKeys(emptyRoot, new Map()) }, later);
        return;
      }
      if (result.kind !== 'found') {
        this.parts.failed(later);
        return;
      }
      const root = decodeRoot(result.entry.value);
      if (root === undefined) {
        this.reject(rootKey, later);
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
    this.parts.request({ kind: 'read', key }, now, (result, later) => {
      const page = result.kind === 'found' ? decodePage(result.entry.value) : undefined;
      if (page !== undefined) this.readPages(rest, pages.set(key, page), later, use);
      else if (result.kind === 'found') this.reject(key, later);
      else this.parts.failed(later);
    });
  }

  private reject(key: string, now: ClockReading): void {
    this.parts.malformed(key);
    this.parts.failed(now);
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
