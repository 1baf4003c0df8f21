/** A key of the store with its value. */
export interface StoredItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Of its last change. */
  readonly revision: number;
}

/** Items of the store at a revision. */
export interface ItemPage {
  readonly items: readonly StoredItem[];
  /** Continue after the last item if there are more. */
  readonly hasMore: boolean;
  /** Revision of the store, from which a watch goes on. */
  readonly revision: number;
}

/** What became of a call to the store. */
export type StoreOutcome<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  /** The key does not exist. */
  | { readonly kind: 'missing' }
  /** The history that a watch asked for is gone. */
  | { readonly kind: 'compacted' }
  /** The store did nothing, or nobody knows whether it did. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** An outcome, and the era of the store that its answer told. */
export type StoreAnswer<Value> = StoreOutcome<Value> & { readonly era?: number | undefined };

/** One HTTP call to the store, in the store's form. */
export interface StoreCall<Value> {
  /** For logs and counters. */
  readonly name: string;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** Time that the store may hold the call before it answers. */
  readonly holdMilliseconds?: number;
  parse(status: number, body: string): StoreOutcome<Value>;
}

/** The calls that a node makes, in the store's form. */
export interface StoreCallCodec {
  /** The key that holds the operators' configuration. */
  readonly configurationKey: string;
  /** The header field of all answers that tells the era of the store; in lower case. */
  readonly eraHeader: string;
  /** Undefined if the value can't be read. */
  parseEra(value: string): number | undefined;
  /** `isOldEnough` allows an answer that is seconds old, at a tenth of the price. */
  list(prefix: string, after: string | undefined, isOldEnough: boolean): StoreCall<ItemPage>;
  watch(prefix: string, revision: number, waitMilliseconds: number): StoreCall<ItemPage>;
  write(key: string, value: Uint8Array): StoreCall<undefined>;
  /** Removes a key that has not changed since the revision. */
  remove(key: string, revision: number): StoreCall<undefined>;
}

/** Makes calls to the store. */
export interface StoreTransport {
  /** `signal` gives the call up. */
  execute<Value>(call: StoreCall<Value>, signal?: AbortSignal): Promise<StoreAnswer<Value>>;
}
