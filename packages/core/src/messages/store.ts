/** A key and its value in the platform's key-value store. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  /** Increased by every write of this key; 0 represents a key that does not exist. */
  readonly version: number;
}

/** A precondition on the version of another key; version 0 represents a key that does not exist. */
export interface StoreGuard {
  readonly key: string;
  readonly version: number;
}

/**
 * Maximum number of keys deleted by one write. Together with the write it stays below etcd's limit
 * of 128 operations.
 */
export const maximumDeletedKeys = 100;

/**
 * A write that takes effect only if the key still has the expected version and the guard holds.
 * A failed guard is reported as a conflict whose entry still has the expected version.
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
  /** Start of the key range, inclusive. */
  readonly key: string;
  /** End of the key range, exclusive. */
  readonly end: string;
  readonly limit: number;
}

export type StoreOperation = StoreCompareAndSwap | StoreRead | StoreWatch | StoreList;

/**
 * The result of a store operation.
 * `unknown` means that no reply was received: a write may have taken effect, so it must be resolved by
 * reading the key.
 */
export type StoreResult =
  | { readonly kind: 'found'; readonly entry: StoreEntry }
  | { readonly kind: 'missing' }
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly entry: StoreEntry | undefined }
  | { readonly kind: 'listed'; readonly keys: readonly string[]; readonly isComplete: boolean }
  | { readonly kind: 'unknown' };

/** The subsystem that requested a store operation and receives its result. */
export const StoreClient = {
  Configuration: 'configuration',
  Homes: 'homes',
  Membership: 'membership',
} as const;
export type StoreClient = (typeof StoreClient)[keyof typeof StoreClient];
