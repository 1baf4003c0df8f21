import type {
  ItemPage,
  StoreCallCodec,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from './key-value-store.js';

/** Time that a watch waits for a change; the store holds one for 30 s at most, and each costs a call. */
const watchMilliseconds = 29_000;
/** Pause after a watch that brought changes, so that a series of changes costs few calls. */
const watchPauseMilliseconds = 150;
/**
 * Pauses before the directory is read again after the first start of a node. A read may be seconds old, so it
 * may lack the nodes that start at the same time.
 */
const rereadMilliseconds: readonly number[] = [1_500, 5_000];
/** Time between later reads; new nodes connect to others by themselves, so these may learn of them late. */
const directoryMilliseconds = 300_000;
/**
 * Time between checks of whether the store answers, while this node watches it or it does not answer. A watch
 * that waited through an outage may never be answered.
 */
const reachCheckMilliseconds = 3_000;
/** Reads that have to miss this node's entry before it is written again; one may be older than the entry. */
const missesBeforeWrite = 2;
const shortestRetryMilliseconds = 150;
const longestRetryMilliseconds = 1_000;

export interface StoreSessionOptions {
  readonly transport: StoreTransport;
  readonly codec: StoreCallCodec;
  /** Where nodes keep their entries, with a slash at its end. */
  readonly directoryPrefix: string;
  readonly nodeName: string;
  readonly entry: Uint8Array;
  /** Whether a stored entry of this node says the same as its own. */
  readonly isEntryCurrent: (stored: Uint8Array) => boolean;
  readonly random: () => number;
  readonly configurationRead: (content: Uint8Array) => void;
  readonly entryRead: (item: StoredItem) => void;
  /** All entries have been read once. */
  readonly directoryRead: () => void;
  readonly reachabilityChanged: (isReachable: boolean, detail: string) => void;
}

/**
 * What a node does with the store: it keeps its entry in the directory, reads the other entries and the
 * configuration once, and watches the configuration while it is told to. Calls are billed, so a start reads
 * what may be seconds old at a tenth of the price, and an entry of an earlier life that still holds stays as it
 * is. An entry has no lease, whose renewals would grow with the fleet: others find out by its connections
 * whether a node lives, and remove the entry of one that ended for good.
 */
export class StoreSession {
  private entryMisses = 0;
  /** This node's entry was missing at its start, so others may have started with it. */
  private isNew = false;
  private isClosed = false;
  private isReachable = true;
  private isWatching = false;
  /** Ends the wait for the duty to watch. */
  private wakeWatch: (() => void) | undefined;
  /** Ends the wait for the next check of the entry. */
  private wakeCheck: (() => void) | undefined;
  private readonly sleepers = new Set<() => void>();
  /** Ends the watch that waits, when it may have missed a change. */
  private watching = new AbortController();

  public constructor(private readonly options: StoreSessionOptions) {}

  public start(): void {
    void this.keepEntry();
    void this.followConfiguration();
    void this.keepChecking();
  }

  /** Whether this node watches the configuration; the change is in force at once. */
  public watchConfiguration(isWatching: boolean): void {
    this.isWatching = isWatching;
    if (isWatching) {
      this.wakeWatch?.();
      this.wakeCheck?.();
    } else this.watching.abort();
  }

  /** Reads the directory once more, for a node that is connected to no other. */
  public async refreshDirectory(): Promise<void> {
    const items = this.isClosed ? undefined : await this.readDirectory();
    if (items !== undefined) await this.checkEntry(items);
  }

  /** Removes this node's entry, so that new nodes do not look for it. */
  public async leave(): Promise<void> {
    this.close();
    await this.removeEntry(this.options.nodeName, () => true);
  }

  /** Removes the entry of a node if it is as expected and nobody writes it meanwhile. */
  public async removeEntry(
    name: string,
    isExpected: (stored: Uint8Array) => boolean,
  ): Promise<void> {
    const { codec, transport } = this.options;
    const item = await this.readEntry(name);
    if (item === undefined || !isExpected(item.value)) return;
    const removed = await transport.execute(codec.remove(item.key, item.revision));
    this.noteReachable(removed);
  }

  public close(): void {
    this.isClosed = true;
    this.watching.abort();
    this.wakeWatch?.();
    this.wakeCheck?.();
    for (const wake of this.sleepers) wake();
  }

  private async keepEntry(): Promise<void> {
    let failures = 0;
    while (!this.isClosed && !(await this.register())) {
      failures += 1;
      await this.sleep(this.retryDelay(failures));
    }
    const rereads = this.isNew ? rereadMilliseconds : [];
    for (let reread = 0; !this.isClosed; reread += 1) {
      await this.sleep(rereads[reread] ?? directoryMilliseconds);
      await this.refreshDirectory();
    }
  }

  /** Reads the others first, so that requests can be served soon, and writes the entry unless it stands. */
  private async register(): Promise<boolean> {
    const items = await this.readDirectory();
    if (items === undefined) return false;
    const own = items.find(({ key }) => key === this.entryKey(this.options.nodeName));
    if (own !== undefined && this.options.isEntryCurrent(own.value)) return true;
    this.isNew = true;
    return this.writeEntry();
  }

  private async writeEntry(): Promise<boolean> {
    const { codec, entry, nodeName, transport } = this.options;
    const written = await transport.execute(codec.write(this.entryKey(nodeName), entry));
    this.noteReachable(written);
    return written.kind === 'ok';
  }

  private async readDirectory(): Promise<readonly StoredItem[] | undefined> {
    const { directoryPrefix, directoryRead, entryRead } = this.options;
    const outcome = await this.listAll(directoryPrefix, true);
    if (outcome.kind !== 'ok') return undefined;
    const { items } = outcome.value;
    for (const item of items) entryRead(item);
    directoryRead();
    return items;
  }

  /** Checks that the store answers, while that matters, with a call that tells of the entry too. */
  private async keepChecking(): Promise<void> {
    for (;;) {
      const isReachNeeded = this.isWatching || !this.isReachable;
      const isDue = await this.untilCheck(isReachNeeded ? reachCheckMilliseconds : undefined);
      if (this.isClosed) return;
      if (isDue) await this.checkReach();
    }
  }

  private async checkReach(): Promise<void> {
    const { codec, nodeName, transport } = this.options;
    const outcome = await transport.execute(codec.list(this.entryKey(nodeName), undefined, true));
    // A watch that waited through an outage may never be answered.
    if (this.noteReachable(outcome)) this.watching.abort();
    if (outcome.kind === 'ok') await this.checkEntry(outcome.value.items);
  }

  /** Writes the entry again if it was removed. */
  private async checkEntry(items: readonly StoredItem[]): Promise<void> {
    const key = this.entryKey(this.options.nodeName);
    const isPresent = items.some((item) => item.key === key);
    this.entryMisses = isPresent ? 0 : this.entryMisses + 1;
    if (this.entryMisses < missesBeforeWrite) return;
    if (await this.writeEntry()) this.entryMisses = 0;
  }

  private async readEntry(name: string): Promise<StoredItem | undefined> {
    const key = this.entryKey(name);
    const outcome = await this.listAll(key, false);
    if (outcome.kind !== 'ok') return undefined;
    return outcome.value.items.find((item) => item.key === key);
  }

  private entryKey(name: string): string {
    return `${this.options.directoryPrefix}${name}`;
  }

  private async followConfiguration(): Promise<void> {
    let revision: number | undefined;
    let hasRead = false;
    let failures = 0;
    // A watch goes on from the revision of an old read and misses nothing, unless the store forgot that history.
    let isOldReadEnough = true;
    while (!this.isClosed) {
      if (hasRead && !this.isWatching) {
        await this.untilWatching();
        // Changes since the last answer may be beyond the store's history.
        revision = undefined;
        isOldReadEnough = true;
        continue;
      }
      const outcome: StoreOutcome<ItemPage> =
        revision === undefined
          ? await this.listAll(this.options.codec.configurationKey, isOldReadEnough)
          : await this.watch(revision);
      const page = outcome.kind === 'ok' ? outcome.value : undefined;
      if (page === undefined) {
        const wasInterrupted = revision !== undefined && this.watching.signal.aborted;
        failures = wasInterrupted ? 0 : failures + 1;
        // After a failure nobody knows what the watch missed.
        revision = undefined;
        isOldReadEnough = outcome.kind !== 'compacted';
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

  /** If it is not answered, the watch has to start again from a read. */
  private async watch(revision: number): Promise<StoreOutcome<ItemPage>> {
    const { codec, transport } = this.options;
    const call = codec.watch(codec.configurationKey, revision, watchMilliseconds);
    this.watching = new AbortController();
    const outcome = await transport.execute(call, this.watching.signal);
    if (!this.watching.signal.aborted) this.noteReachable(outcome);
    return outcome;
  }

  private async listAll(prefix: string, isOldEnough: boolean): Promise<StoreOutcome<ItemPage>> {
    const { codec, transport } = this.options;
    const items: StoredItem[] = [];
    let after: string | undefined;
    for (;;) {
      const outcome = await transport.execute(codec.list(prefix, after, isOldEnough));
      this.noteReachable(outcome);
      if (outcome.kind !== 'ok') return outcome;
      items.push(...outcome.value.items);
      after = outcome.value.items.at(-1)?.key;
      if (!outcome.value.hasMore || after === undefined) {
        return { kind: 'ok', value: { ...outcome.value, items } };
      }
    }
  }

  /** True if the store answers again after it did not. */
  private noteReachable(outcome: { readonly kind: string; readonly detail?: string }): boolean {
    const isReachable = outcome.kind !== 'unavailable';
    const isChange = isReachable !== this.isReachable;
    this.isReachable = isReachable;
    if (!isChange) return false;
    this.wakeCheck?.();
    this.options.reachabilityChanged(isReachable, outcome.detail ?? '');
    return isReachable;
  }

  private retryDelay(failures: number): number {
    const delay = shortestRetryMilliseconds * 2 ** Math.min(failures - 1, 5);
    return Math.min(longestRetryMilliseconds, delay) * (0.5 + this.options.random());
  }

  /** Without a time it waits for a reason to check. False if it ended since the time has changed. */
  private async untilCheck(milliseconds: number | undefined): Promise<boolean> {
    const isDue = await new Promise<boolean>((resolve) => {
      const timer =
        milliseconds === undefined ? undefined : setTimeout(resolve, milliseconds, true);
      this.wakeCheck = () => {
        clearTimeout(timer);
        resolve(false);
      };
    });
    this.wakeCheck = undefined;
    return isDue;
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
