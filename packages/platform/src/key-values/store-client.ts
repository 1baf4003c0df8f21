import type {
  ItemPage,
  StoreCall,
  StoreCallCodec,
  StoreCallOptions,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-value-store.js';
import { EraStatus, StoreEraTracker } from './store-era-tracker.js';

/** The outcome of a call; `outdated` is a response from a copy of the store that has been replaced. */
export type StoreClientOutcome<Value> = StoreOutcome<Value> | { readonly kind: 'outdated' };

export interface StoreClientEvents {
  readonly onReachabilityChange: (isReachable: boolean, detail: string) => void;
  /** A response reported an era for the first time. */
  readonly onFirstEra: (era: number) => void;
  /** The store was restored from an older copy: writes that it acknowledged since then may be lost. */
  readonly onRestored: (era: number) => void;
}

export interface StoreClientOptions {
  readonly transport: StoreTransport;
  readonly codec: StoreCallCodec;
  readonly clock: () => number;
  readonly events: StoreClientEvents;
}

/** Sends all calls of a node to the store, and tracks the reachability and the era of the store from the responses. */
export class StoreClient {
  private readonly eraTracker = new StoreEraTracker();
  private isReached = true;

  public constructor(private readonly options: StoreClientOptions) {}

  public get isReachable(): boolean {
    return this.isReached;
  }

  /** The current era of the store; `undefined` until a response has reported one. */
  public get currentEra(): number | undefined {
    return this.eraTracker.current;
  }

  public async call<Value>(
    call: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<StoreClientOutcome<Value>> {
    const { clock, events, transport } = this.options;
    const response = await transport.execute(call, signal);
    // An aborted call carries no information about the store.
    if (signal?.aborted === true) return response;
    const previousEra = this.eraTracker.current;
    const eraStatus = this.eraTracker.observe(response.era, clock());
    if (eraStatus === EraStatus.Outdated) return { kind: 'outdated' };
    const { current } = this.eraTracker;
    if (current !== undefined && current !== previousEra) {
      if (eraStatus === EraStatus.Restored) events.onRestored(current);
      else events.onFirstEra(current);
    }
    this.updateReachability(response);
    return response;
  }

  /** Reads all pages of the keys with a prefix. The options are those of the call for each page. */
  public async list(
    prefix: string,
    isStaleAllowed: boolean,
    options: StoreCallOptions = {},
  ): Promise<StoreClientOutcome<ItemPage>> {
    const items: StoredItem[] = [];
    let after: string | undefined;
    let eraOfFirstPage: number | undefined;
    for (;;) {
      const page = this.options.codec.list(prefix, after, isStaleAllowed);
      const outcome = await this.call({ ...page, ...options });
      if (outcome.kind !== 'ok') return outcome;
      eraOfFirstPage ??= this.eraTracker.current;
      // Pages of two different copies of the store must not be combined.
      if (eraOfFirstPage !== this.eraTracker.current) return { kind: 'outdated' };
      items.push(...outcome.value.items);
      after = outcome.value.items.at(-1)?.key;
      if (!outcome.value.hasMore || after === undefined) {
        return { kind: 'ok', value: { ...outcome.value, items } };
      }
    }
  }

  private updateReachability(outcome: StoreOutcome<unknown>): void {
    const isReachable = outcome.kind !== 'unavailable';
    if (isReachable === this.isReached) return;
    this.isReached = isReachable;
    const detail = outcome.kind === 'unavailable' ? outcome.detail : '';
    this.options.events.onReachabilityChange(isReachable, detail);
  }
}
