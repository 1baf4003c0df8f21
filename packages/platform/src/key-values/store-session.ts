import { ConfigurationReading } from './configuration-reading.js';
import type { ItemPage, StoreCallCodec, StoredItem, StoreTransport } from './key-value-store.js';
import { Pauses } from './pauses.js';
import { RecentRemovals } from './recent-removals.js';
import type { EntryTest } from './recent-removals.js';
import { StoreAccess } from './store-access.js';
import type { AccessOutcome } from './store-access.js';

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
/**
 * Nodes look at their entries within this time after they hear that the store came back from a copy. Entries
 * are to stand again about 2 s after the return, and a watcher may take up to 1.5 s of these to find it.
 */
const entryCheckSpreadMilliseconds = 500;
/** Reads that may be old are tried this often in a new era; then one that is exact. */
const oldReadsOfNewEra = 3;

export interface StoreSessionOptions {
  readonly transport: StoreTransport;
  readonly clock: () => number;
  readonly codec: StoreCallCodec;
  /** Where nodes keep their entries, with a slash at its end. */
  readonly directoryPrefix: string;
  readonly nodeName: string;
  readonly entry: Uint8Array;
  /** Whether a stored entry of this node says the same as its own. */
  readonly isEntryCurrent: EntryTest;
  readonly random: () => number;
  readonly configurationRead: (content: Uint8Array) => void;
  readonly entryRead: (item: StoredItem) => void;
  /** All entries have been read once. */
  readonly directoryRead: () => void;
  readonly reachabilityChanged: (isReachable: boolean, detail: string) => void;
  /** An answer told the era of the store for the first time, or that it came back from an older copy. */
  readonly eraSeen: (era: number, isRestored: boolean) => void;
}

/**
 * What a node does with the store: it keeps its entry in the directory, reads the other entries and the
 * configuration once, and watches the configuration while it is told to. Calls are billed, so a start reads
 * what may be seconds old at a tenth of the price, and an entry of an earlier life that still holds stays as it
 * is. An entry has no lease, whose renewals would grow with the fleet: others find out by its connections
 * whether a node lives, and remove the entry of one that ended for good. A store that comes back from an older
 * copy has lost what it acknowledged since: reads and watches start anew, entries and removals are repeated.
 */
export class StoreSession {
  private readonly access: StoreAccess;
  private readonly configuration: ConfigurationReading;
  private readonly pauses: Pauses;
  private readonly removals: RecentRemovals;
  private entryMisses = 0;
  /** This node's entry was missing at its start, so others may have started with it. */
  private isNew = false;
  private isClosed = false;
  private isWatching = false;
  /** The highest era that another node told. */
  private toldEra = -Infinity;
  /** The era in which the entry was last seen or written. */
  private entryEra: number | undefined;
  private isRestoringEntry = false;
  /** Ends the wait for the next check of the entry. */
  private wakeCheck: (() => void) | undefined;

  public constructor(private readonly options: StoreSessionOptions) {
    const { clock, codec, configurationRead, random, transport } = options;
    this.pauses = new Pauses(random);
    this.removals = new RecentRemovals(clock);
    this.access = new StoreAccess({
      clock,
      codec,
      events: {
        eraSeen: (era) => {
          this.entryEra = era;
          options.eraSeen(era, false);
        },
        reachabilityChanged: (isReachable, detail) => {
          this.reachabilityChanged(isReachable, detail);
        },
        restored: (era) => {
          this.restored(era);
        },
      },
      transport,
    });
    this.configuration = new ConfigurationReading({
      access: this.access,
      codec,
      pauses: this.pauses,
      read: configurationRead,
    });
  }

  public start(): void {
    void this.keepEntry();
    void this.configuration.follow();
    void this.keepChecking();
  }

  /** Whether this node watches the configuration; the change is in force at once. */
  public watchConfiguration(isWatching: boolean): void {
    this.isWatching = isWatching;
    this.configuration.watch(isWatching);
    if (isWatching) this.wakeCheck?.();
  }

  /** Another node has had an answer of this era. Only the store's own answers show whether it is so. */
  public eraTold(era: number): void {
    const known = this.access.currentEra ?? -Infinity;
    if (this.isClosed || era <= Math.max(known, this.toldEra)) return;
    this.toldEra = era;
    void this.confirmEra(era);
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
  public async removeEntry(name: string, isExpected: EntryTest): Promise<void> {
    const item = await this.readEntry(name);
    if (item === undefined || !isExpected(item.value)) return;
    const eraOfRead = this.access.currentEra;
    this.removals.note(name, isExpected);
    const removed = await this.access.call(this.options.codec.remove(item.key, item.revision));
    // A lost answer leaves open whether it was removed; the next who dials the node in vain tries again.
    if (removed.kind !== 'ok' && eraOfRead === this.access.currentEra) this.removals.forget(name);
  }

  public close(): void {
    this.isClosed = true;
    this.configuration.close();
    this.wakeCheck?.();
    this.pauses.close();
  }

  private async keepEntry(): Promise<void> {
    let failures = 0;
    while (!this.isClosed && !(await this.register())) {
      failures += 1;
      await this.pauses.beforeRetry(failures);
    }
    const rereads = this.isNew ? rereadMilliseconds : [];
    for (let reread = 0; !this.isClosed; reread += 1) {
      await this.pauses.sleep(rereads[reread] ?? directoryMilliseconds);
      await this.refreshDirectory();
    }
  }

  /** Reads the others first, so that requests can be served soon, and writes the entry unless it stands. */
  private async register(): Promise<boolean> {
    const items = await this.readDirectory();
    if (items === undefined) return false;
    if (this.isCurrentIn(items)) return true;
    this.isNew = true;
    return this.writeEntry();
  }

  private async writeEntry(): Promise<boolean> {
    const { codec, entry, nodeName } = this.options;
    const written = await this.access.call(codec.write(this.entryKey(nodeName), entry));
    return written.kind === 'ok';
  }

  private async readDirectory(): Promise<readonly StoredItem[] | undefined> {
    const { directoryPrefix, directoryRead, entryRead } = this.options;
    const outcome = await this.access.list(directoryPrefix, true);
    if (outcome.kind !== 'ok') return undefined;
    const { items } = outcome.value;
    for (const item of items) entryRead(item);
    directoryRead();
    return items;
  }

  /** Checks that the store answers, while that matters, with a call that tells of the entry too. */
  private async keepChecking(): Promise<void> {
    for (;;) {
      const isReachNeeded = this.isWatching || !this.access.isReachable;
      const isDue = await this.untilCheck(isReachNeeded ? reachCheckMilliseconds : undefined);
      if (this.isClosed) return;
      if (!isDue) continue;
      const outcome = await this.listOwnEntry(true);
      if (outcome.kind === 'ok') await this.checkEntry(outcome.value.items);
    }
  }

  /** Writes the entry again if it was removed. */
  private async checkEntry(items: readonly StoredItem[]): Promise<void> {
    const key = this.entryKey(this.options.nodeName);
    const isPresent = items.some((item) => item.key === key);
    this.entryMisses = isPresent ? 0 : this.entryMisses + 1;
    if (this.entryMisses < missesBeforeWrite) return;
    if (await this.writeEntry()) this.entryMisses = 0;
  }

  /** Asks the store about an era that another node told, often enough for old reads to have passed. */
  private async confirmEra(era: number): Promise<void> {
    for (let reads = 0; reads <= oldReadsOfNewEra && !this.isClosed; reads += 1) {
      await this.pauses.spread(entryCheckSpreadMilliseconds);
      if ((this.access.currentEra ?? -Infinity) >= era) return;
      await this.listOwnEntry(reads < oldReadsOfNewEra);
    }
  }

  /** The store came back from an older copy. */
  private restored(era: number): void {
    this.options.eraSeen(era, true);
    this.configuration.restored();
    void this.restoreEntry();
    for (const [name, isExpected] of this.removals.recent()) {
      void this.removeEntry(name, isExpected);
    }
    // Entries of nodes that ended before may be back too: whoever dials these in vain removes them.
    if (this.isWatching) void this.readDirectory();
  }

  /** Sees to it that the entry stands in the era that holds, as soon as an answer of that era tells of it. */
  private async restoreEntry(): Promise<void> {
    if (this.isRestoringEntry) return;
    this.isRestoringEntry = true;
    await this.pauses.spread(entryCheckSpreadMilliseconds);
    let failures = 0;
    while (!this.isClosed && this.entryEra !== this.access.currentEra) {
      const era = this.access.currentEra;
      if (await this.standsOrIsWritten(failures < oldReadsOfNewEra)) {
        this.entryEra = era;
        continue;
      }
      failures += 1;
      await this.pauses.beforeRetry(failures);
    }
    this.isRestoringEntry = false;
  }

  private async standsOrIsWritten(isOldEnough: boolean): Promise<boolean> {
    const outcome = await this.listOwnEntry(isOldEnough);
    if (outcome.kind !== 'ok') return false;
    return this.isCurrentIn(outcome.value.items) || (await this.writeEntry());
  }

  private listOwnEntry(isOldEnough: boolean): Promise<AccessOutcome<ItemPage>> {
    const { codec, nodeName } = this.options;
    return this.access.call(codec.list(this.entryKey(nodeName), undefined, isOldEnough));
  }

  private isCurrentIn(items: readonly StoredItem[]): boolean {
    const own = items.find(({ key }) => key === this.entryKey(this.options.nodeName));
    return own !== undefined && this.options.isEntryCurrent(own.value);
  }

  private async readEntry(name: string): Promise<StoredItem | undefined> {
    const key = this.entryKey(name);
    const outcome = await this.access.list(key, false);
    if (outcome.kind !== 'ok') return undefined;
    return outcome.value.items.find((item) => item.key === key);
  }

  private entryKey(name: string): string {
    return `${this.options.directoryPrefix}${name}`;
  }

  private reachabilityChanged(isReachable: boolean, detail: string): void {
    if (isReachable) this.configuration.restartWatch();
    this.wakeCheck?.();
    this.options.reachabilityChanged(isReachable, detail);
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
}
