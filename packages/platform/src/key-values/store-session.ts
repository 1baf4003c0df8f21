import type { ItemPage, StoreCallCodec, StoredItem, StoreTransport } from './key-value-store.js';

/** Time that a watch waits for a change. */
const watchMilliseconds = 25_000;
/** Pause after a watch that brought changes, so that a series of changes costs few calls. */
const watchPauseMilliseconds = 150;
/** Life of a node's entry after its last renewal. */
const leaseMilliseconds = 30_000;
/** Entries that were lost are back within two seconds of the next renewal. */
const renewalMilliseconds = 3_000;
const shortestRetryMilliseconds = 150;
const longestRetryMilliseconds = 1_000;

export interface StoreSessionOptions {
  readonly transport: StoreTransport;
  readonly codec: StoreCallCodec;
  /** Where nodes keep their entries, with a slash at its end. */
  readonly directoryPrefix: string;
  readonly nodeName: string;
  readonly entry: Uint8Array;
  readonly random: () => number;
  readonly configurationRead: (content: Uint8Array) => void;
  readonly entryRead: (item: StoredItem) => void;
  /** All entries have been read once. */
  readonly directoryRead: () => void;
  readonly reachabilityChanged: (isReachable: boolean, detail: string) => void;
}

/**
 * What a node does with the store: it keeps its entry in the directory under a lease, reads the other
 * entries and the configuration once, and watches the configuration while it is told to.
 */
export class StoreSession {
  private lease: number | undefined;
  private isClosed = false;
  private isReachable = true;
  private isWatching = false;
  /** Ends the wait for the duty to watch. */
  private wakeWatch: (() => void) | undefined;
  private readonly sleepers = new Set<() => void>();
  /** Ends the watch that waits, when it may have missed a change. */
  private watching = new AbortController();

  public constructor(private readonly options: StoreSessionOptions) {}

  public start(): void {
    void this.keepEntry();
    void this.followConfiguration();
  }

  /** Whether this node watches the configuration; the change is in force at once. */
  public watchConfiguration(isWatching: boolean): void {
    this.isWatching = isWatching;
    if (isWatching) this.wakeWatch?.();
    else this.watching.abort();
  }

  /** Ends the lease, so that new nodes do not look for this one. */
  public async leave(): Promise<void> {
    const { codec, transport } = this.options;
    this.close();
    if (this.lease !== undefined) await transport.execute(codec.endLease(this.lease));
  }

  public close(): void {
    this.isClosed = true;
    this.watching.abort();
    this.wakeWatch?.();
    for (const wake of this.sleepers) wake();
  }

  private async keepEntry(): Promise<void> {
    let failures = 0;
    while (!this.isClosed) {
      const isKept =
        this.lease === undefined ? await this.register() : await this.renew(this.lease);
      failures = isKept ? 0 : failures + 1;
      await this.sleep(isKept ? renewalMilliseconds : this.retryDelay(failures));
    }
  }

  /** Writes the entry and then reads the others: of any two nodes, the later one sees the earlier. */
  private async register(): Promise<boolean> {
    const { codec, directoryPrefix, entry, nodeName, transport } = this.options;
    const granted = await transport.execute(codec.grantLease(leaseMilliseconds));
    this.noteReachable(granted);
    if (granted.kind !== 'ok') return false;
    const key = `${directoryPrefix}${nodeName}`;
    const written = await transport.execute(codec.write(key, entry, granted.value));
    this.noteReachable(written);
    if (written.kind !== 'ok') return false;
    this.lease = granted.value;
    return this.readDirectory();
  }

  private async readDirectory(): Promise<boolean> {
    const { directoryPrefix, directoryRead, entryRead } = this.options;
    const items = await this.listAll(directoryPrefix);
    if (items === undefined) return false;
    for (const item of items.items) entryRead(item);
    directoryRead();
    return true;
  }

  private async renew(lease: number): Promise<boolean> {
    const { codec, transport } = this.options;
    const renewed = await transport.execute(codec.renewLease(lease));
    if (renewed.kind === 'missing') this.lease = undefined;
    // A watch that waited through an outage may never be answered.
    if (this.noteReachable(renewed)) this.watching.abort();
    return renewed.kind === 'ok';
  }

  private async followConfiguration(): Promise<void> {
    let revision: number | undefined;
    let hasRead = false;
    let failures = 0;
    while (!this.isClosed) {
      if (hasRead && !this.isWatching) {
        await this.untilWatching();
        // Changes since the last answer may be beyond the store's history.
        revision = undefined;
        continue;
      }
      const page: ItemPage | undefined =
        revision === undefined
          ? await this.listAll(this.options.codec.configurationKey)
          : await this.watch(revision);
      if (page === undefined) {
        const wasInterrupted = revision !== undefined && this.watching.signal.aborted;
        failures = wasInterrupted ? 0 : failures + 1;
        // After a failure nobody knows what the watch missed.
        revision = undefined;
        if (wasInterrupted) continue;
        await this.sleep(this.retryDelay(failures));
        continue;
      }
      failures = 0;
      hasRead = true;
      const wasWatch = revision !== undefined;
      revision = page.revision;
      for (const { key, value } of page.items) {
        if (key === this.options.codec.configurationKey) this.options.configurationRead(value);
      }
      if (wasWatch && page.items.length > 0) await this.sleep(watchPauseMilliseconds);
    }
  }

  private async untilWatching(): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      this.wakeWatch = resolve;
    });
    this.wakeWatch = undefined;
  }

  /** Undefined if the watch has to start again from a read. */
  private async watch(revision: number): Promise<ItemPage | undefined> {
    const { codec, transport } = this.options;
    const call = codec.watch(codec.configurationKey, revision, watchMilliseconds);
    this.watching = new AbortController();
    const outcome = await transport.execute(call, this.watching.signal);
    if (!this.watching.signal.aborted) this.noteReachable(outcome);
    return outcome.kind === 'ok' ? outcome.value : undefined;
  }

  private async listAll(prefix: string): Promise<ItemPage | undefined> {
    const { codec, transport } = this.options;
    const items: StoredItem[] = [];
    let after: string | undefined;
    for (;;) {
      const outcome = await transport.execute(codec.list(prefix, after, false));
      this.noteReachable(outcome);
      if (outcome.kind !== 'ok') return undefined;
      items.push(...outcome.value.items);
      after = outcome.value.items.at(-1)?.key;
      if (!outcome.value.hasMore || after === undefined) return { ...outcome.value, items };
    }
  }

  /** True if the store answers again after it did not. */
  private noteReachable(outcome: { readonly kind: string; readonly detail?: string }): boolean {
    const isReachable = outcome.kind !== 'unavailable';
    const isChange = isReachable !== this.isReachable;
    this.isReachable = isReachable;
    if (isChange) this.options.reachabilityChanged(isReachable, outcome.detail ?? '');
    return isChange && isReachable;
  }

  private retryDelay(failures: number): number {
    const delay = shortestRetryMilliseconds * 2 ** Math.min(failures - 1, 5);
    return Math.min(longestRetryMilliseconds, delay) * (0.5 + this.options.random());
  }

  private async sleep(milliseconds: number): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.sleepers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.sleepers.add(wake);
    });
  }
}
