import type {
  ItemPage,
  StoreCall,
  StoreCallCodec,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-value-store.js';
import { EraFinding, StoreEra } from './store-era.js';

/** What became of a call; an answer of a copy that has been replaced says nothing. */
export type AccessOutcome<Value> = StoreOutcome<Value> | { readonly kind: 'outdated' };

export interface StoreAccessEvents {
  readonly reachabilityChanged: (isReachable: boolean, detail: string) => void;
  /** An answer told the era for the first time. */
  readonly eraSeen: (era: number) => void;
  /** The store came back from an older copy: what it had acknowledged since may be gone. */
  readonly restored: (era: number) => void;
}

export interface StoreAccessOptions {
  readonly transport: StoreTransport;
  readonly codec: StoreCallCodec;
  readonly clock: () => number;
  readonly events: StoreAccessEvents;
}

/** All calls of a node to the store. Judges from each answer whether the store is reached and which era it is in. */
export class StoreAccess {
  private readonly era = new StoreEra();
  private isReached = true;

  public constructor(private readonly options: StoreAccessOptions) {}

  public get isReachable(): boolean {
    return this.isReached;
  }

  /** Undefined until an answer told it. */
  public get currentEra(): number | undefined {
    return this.era.current;
  }

  public async call<Value>(
    call: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<AccessOutcome<Value>> {
    const { clock, events, transport } = this.options;
    const answer = await transport.execute(call, signal);
    // A call that was given up tells nothing of the store.
    if (signal?.aborted === true) return answer;
    const before = this.era.current;
    const finding = this.era.note(answer.era, clock());
    if (finding === EraFinding.Outdated) return { kind: 'outdated' };
    const { current } = this.era;
    if (current !== undefined && current !== before) {
      if (finding === EraFinding.Restored) events.restored(current);
      else events.eraSeen(current);
    }
    this.noteReachable(answer);
    return answer;
  }

  /** Reads all pages of the keys with a prefix. */
  public async list(prefix: string, isOldEnough: boolean): Promise<AccessOutcome<ItemPage>> {
    const items: StoredItem[] = [];
    let after: string | undefined;
    let eraOfFirst: number | undefined;
    for (;;) {
      const outcome = await this.call(this.options.codec.list(prefix, after, isOldEnough));
      if (outcome.kind !== 'ok') return outcome;
      eraOfFirst ??= this.era.current;
      // Pages of two copies make no list.
      if (eraOfFirst !== this.era.current) return { kind: 'outdated' };
      items.push(...outcome.value.items);
      after = outcome.value.items.at(-1)?.key;
      if (!outcome.value.hasMore || after === undefined) {
        return { kind: 'ok', value: { ...outcome.value, items } };
      }
    }
  }

  private noteReachable(outcome: StoreOutcome<unknown>): void {
    const isReachable = outcome.kind !== 'unavailable';
    if (isReachable === this.isReached) return;
    this.isReached = isReachable;
    const detail = outcome.kind === 'unavailable' ? outcome.detail : '';
    this.options.events.reachabilityChanged(isReachable, detail);
  }
}
