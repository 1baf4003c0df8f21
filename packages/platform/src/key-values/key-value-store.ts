/** A key of the store with its value. */
export interface StoredItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last change of this key. */
  readonly revision: number;
}

/** A key that was removed. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** One page of items, read at a revision of the store. */
export interface ItemPage {
  readonly items: readonly StoredItem[];
  /** Keys that a watch reports as removed; empty for other calls. A key may also be in `items`: the later event holds. */
  readonly removedKeys: readonly RemovedKey[];
  /** Whether another page follows; it starts after the last item of this one. */
  readonly hasMore: boolean;
  /** Revision of the store, from which a watch can continue. */
  readonly revision: number;
}

/** The outcome of a call to the store. */
export type StoreOutcome<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  /** The key does not exist. */
  | { readonly kind: 'missing' }
  /** The store has compacted the history that a watch requested. */
  | { readonly kind: 'compacted' }
  /** The call failed: it had no effect, or its effect is unknown. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** An outcome with the era of the store that the response reported, if any. */
export type StoreResponse<Value> = StoreOutcome<Value> & { readonly era?: number | undefined };

/** How a call is made, apart from what it says. */
export interface StoreCallOptions {
  /** Time to wait for the response, in addition to `holdMilliseconds`, if it differs from that of other calls. */
  readonly responseTimeoutMilliseconds?: number;
  /** An earlier call has failed or is late, so connections that were open before may be dead. */
  readonly isRepeat?: boolean;
}

/** One HTTP call in the protocol of the store. */
export interface StoreCall<Value> extends StoreCallOptions {
  /** Identifies the kind of call in logs and metrics. */
  readonly name: string;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** Time for which the store may hold the call open before it responds (long polling). */
  readonly holdMilliseconds?: number;
  parse(status: number, body: string): StoreOutcome<Value>;
}

/** Encodes the calls of a node in the protocol of the store. */
export interface StoreCallCodec {
  /** Key prefix of everything that operators write, with a trailing slash. */
  readonly operatorPrefix: string;
  /** The key that holds the operators' configuration. */
  readonly configurationKey: string;
  /** The availability zone that the operator evacuates with this key; undefined for any other key. */
  parseEvacuationKey(key: string): string | undefined;
  /** Name (in lower case) of the header field of all responses that carries the era of the store. */
  readonly eraHeader: string;
  /** Returns `undefined` if the value is invalid. */
  parseEra(value: string): number | undefined;
  /** `isStaleAllowed` permits a result that is seconds old, at a tenth of the price of an up-to-date one. */
  list(prefix: string, after: string | undefined, isStaleAllowed: boolean): StoreCall<ItemPage>;
  watch(prefix: string, revision: number, waitMilliseconds: number): StoreCall<ItemPage>;
  write(key: string, value: Uint8Array): StoreCall<undefined>;
  /** Removes a key unless it has changed since the revision. */
  remove(key: string, revision: number): StoreCall<undefined>;
}

/** Sends calls to the store. */
export interface StoreTransport {
  /** `signal` aborts the call. */
  execute<Value>(call: StoreCall<Value>, signal?: AbortSignal): Promise<StoreResponse<Value>>;
}
