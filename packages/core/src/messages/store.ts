/** A key and its value in the platform's service. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  /** Raised by every write of this key; 0 stands for a key that does not exist. */
  readonly version: number;
}

/** Another key whose version a write depends on; version 0 stands for a key that does not exist. */
export interface StoreGuard {
  readonly key: string;
  readonly version: number;
}

/** Keys that one write may delete: with the write itself they stay below etcd's 128 operations. */
export const maximumDeletedKeys = 100;

/**
 * A write that takes effect only if the key still has the expected version and the guard holds.
 * A failed guard is reported as a conflict whose entry has the expected version.
 */
export interface StoreCompareAndSwap {
  readonly kind: 'compare-and-swap';
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
  readonly guard?: StoreGuard | undefined;
  /** Keys deleted by the same transaction, at most `maximumDeletedKeys`; missing keys are ignored. */
  readonly deletedKeys?: readonly string[] | undefined;
}

export interface StoreRead {
  readonly kind: 'read';
  readonly key: string;
}

/** Waits until the key has a version above the given one. */
export interface StoreWatch {
  readonly kind: 'watch';
  readonly key: string;
  readonly afterVersion: number;
}

/** Lists keys without their values. */
export interface StoreList {
  readonly kind: 'list';
  /** First key of the list. */
  readonly key: string;
  /** The list ends before this key. */
  readonly end: string;
  readonly limit: number;
}

export type StoreOperation = StoreCompareAndSwap | StoreRead | StoreWatch | StoreList;

/**
 * The result of a store operation.
 * `unknown` means that no answer came: a write may have taken effect, so it must be resolved by reading.
 */
export type StoreResult =
  | { readonly kind: 'found'; readonly entry: StoreEntry }
  | { readonly kind: 'missing' }
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly entry: StoreEntry | undefined }
  | { readonly kind: 'listed'; readonly keys: readonly string[]; readonly isComplete: boolean }
  | { readonly kind: 'unknown' };

/** The subsystem that asked for a store operation; its result goes back there. */
export const StoreClient = {
  Configuration: 'configuration',
  Homes: 'homes',
  Membership: 'membership',
} as const;
export type StoreClient = (typeof StoreClient)[keyof typeof StoreClient];
