/** A key and its value in the platform's service. */
export interface StoreEntry {
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  /** Raised by every write of this key; 0 stands for a key that does not exist. */
  readonly version: number;
}

/** A write that takes effect only if the key still has the expected version. */
export interface StoreCompareAndSwap {
  readonly kind: 'compare-and-swap';
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
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

export type StoreOperation = StoreCompareAndSwap | StoreRead | StoreWatch;

/**
 * The result of a store operation.
 * `unknown` means that no answer came: a write may have taken effect, so it must be resolved by reading.
 */
export type StoreResult =
  | { readonly kind: 'found'; readonly entry: StoreEntry }
  | { readonly kind: 'missing' }
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly entry: StoreEntry | undefined }
  | { readonly kind: 'unknown' };

/** The subsystem that asked for a store operation; its result goes back there. */
export const StoreClient = {
  Configuration: 'configuration',
  Homes: 'homes',
  Membership: 'membership',
} as const;
export type StoreClient = (typeof StoreClient)[keyof typeof StoreClient];
