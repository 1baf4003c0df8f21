import type { EvacuationRead, WatchTurn } from '@peridotspring/mesh-core';

import type { ItemPage, StoreCallCodec, StoredItem, StoreTransport } from './key-value-store.js';
import { CancellableDelays } from './cancellable-delays.js';
import { ConfirmedRecords } from './confirmed-records.js';
import { OperatorReader } from './operator-reader.js';
import { SharedRecords } from './shared-records.js';
import { RecentRemovals } from './recent-removals.js';
import type { EntryPredicate } from './recent-removals.js';
import { StoreClient } from './store-client.js';
import type { StoreClientOutcome } from './store-client.js';

/**
 * Delays before the additional reads of the directory after the first registration of a node. A read may be
 * seconds old, so it may lack nodes that start at the same time.
 */
const startupRereadDelaysMilliseconds: readonly number[] = [1_500, 5_000];
/** Interval of later directory reads. It can be long, since new nodes connect to the existing ones themselves. */
const directoryReadIntervalMilliseconds = 300_000;
/** Interval of checks for records of departures that are no longer needed. */
const expiryCheckIntervalMilliseconds = 300_000;
/**
 * Interval of checks whether the store responds while this node watches the configuration, as a share of the time within
 * which a change must be in force everywhere. A watch that was open during an outage may never be answered, and nodes
 * that do not watch depend on this one.
 */
const watchingCheckShare = 0.35;
/** Interval of checks while the store is unreachable, as a share of the same time. */
const unreachableCheckShare = 1;
/** Time to wait for the response to a check, as a share of the same time. */
const checkTimeoutShare = 0.3;
/** Time for which reads have to lack this node's entry before it is written again; one may be seconds old. */
const missingEntryMilliseconds = 3_000;
/**
 * Nodes check their entries within this time after they have learned that the store was restored from a copy.
 * Entries should exist again about 2 s after the restore, of which a watching node may need up to 1.5 s to detect it.
 */
const entryCheckJitterMilliseconds = 500;
/** Number of stale reads in a new era before an up-to-date read. */
const staleReadsOfNewEra = 3;

export interface StoreSessionOptions {
  readonly transport: StoreTransport;
  readonly clock: () => number;
  readonly codec: StoreCallCodec;
  /** Common prefix of the two following ones: one call reads both. */
  readonly commonPrefix: string;
  /** Key prefix of the entries of nodes, with a trailing slash. */
  readonly directoryPrefix: string;
  /** Key prefix of the records that nodes keep for those that start later, with a trailing slash. */
  readonly recordPrefix: string;
  readonly onRecordRead: (value: Uint8Array) => void;
  /** Key prefix of the records of departed servers, with a trailing slash; the directory is read without them. */
  readonly departurePrefix: string;
  readonly isDepartureExpired: (value: Uint8Array) => boolean;
  readonly nodeName: string;
  /** Encodes the entry of this node with an era of the store; undefined if the store reports none. */
  readonly createEntry: (recordsEra: number | undefined) => Uint8Array;
  /** The era in a stored entry of this node. */
  readonly readRecordsEra: (stored: Uint8Array) => number | undefined;
  /** Whether a stored entry of this node is the present one, apart from its era. */
  readonly isEntryCurrent: EntryPredicate;
  readonly random: () => number;
  /** Time within which a change by an operator must be in force on each node. */
  readonly propagationMilliseconds: number;
  /** Time of day in Unix milliseconds. */
  readonly wallClock: () => number;
  /** The place of this node among those that watch the configuration. */
  readonly watchTurn: () => WatchTurn;
  /**
   * The store has shown that it holds nothing newer from operators than what was read.
   * `sentAt` is the time on `proofClock` before the call was sent; undefined if the result may be older than that.
   */
  readonly onConfigurationConfirmed: (sentAt: number | undefined) => void;
  /** Clock for the times of calls that prove what the store holds. */
  readonly proofClock: () => number;
  /** Whether a watch is preceded by one that the store answers at once, to prove what it holds. */
  readonly isProofDue: () => boolean;
  readonly onConfigurationRead: (content: Uint8Array) => void;
  /** `era` is the current era of the store, undefined if it reports none. */
  readonly onEvacuationsRead: (read: EvacuationRead, era: number | undefined) => void;
  readonly onEntryRead: (item: StoredItem) => void;
  /** Called after each complete read of the directory. */
  readonly onDirectoryRead: () => void;
  readonly onReachabilityChange: (isReachable: boolean, detail: string) => void;
  /** Called with the first era that the store reports, and after each restore from an older copy. */
  readonly onEraObserved: (era: number, isRestored: boolean) => void;
}

/** The records of an instance's departures. */
export interface DepartureRead {
  readonly values: readonly Uint8Array[];
  /** False if the store may have lost others, since it was restored from an older copy. */
  readonly isComplete: boolean;
}

/**
 * The use of the store by one node: it maintains the entry of the node in the directory, reads the other entries and
 * what operators write, and watches the latter while this is enabled.
 *
 * Calls are billed, so a start uses stale reads at a tenth of the price, and a current entry of an earlier
 * incarnation is not written again. Entries have no lease, since the number of renewals would grow with the number of
 * nodes: other nodes detect by their connections whether a node is alive, and remove the entry of one that has ended
 * for good. A store that was restored from an older copy has lost the writes that it acknowledged since, so reads and
 * watches start over, and entries and removals are repeated.
 */
export class StoreSession {
  private readonly storeClient: StoreClient;
  private readonly operatorReader: OperatorReader;
  private readonly sharedRecords: SharedRecords;
  private readonly departureRecords: ConfirmedRecords;
  private readonly delays: CancellableDelays;
  private readonly recentRemovals: RecentRemovals;
  /** Time of the first of the reads in a row that lacked this node's entry. */
  private entryMissingSince: number | undefined;
  /** This node's entry was missing at its start, so other nodes may have started at the same time. */
  private isFirstRegistration = false;
  /**
   * The era since which the store can't have lost departures that an earlier process of this node recorded. It is part of the
   * entry, and does not change while a process runs that keeps and repeats its records.
   */
  private recordsEra: number | undefined;
  private isRegistered = false;
  private endRegistration: () => void = () => undefined;
  private readonly registration = new Promise<void>((resolve) => {
    this.endRegistration = resolve;
  });
  private isClosed = false;
  private isWatching = false;
  /** The highest era that another node reported. */
  private highestReportedEra = -Infinity;
  /** The era in which the entry was last read or written. */
  private entryEra: number | undefined;
  private isRestoringEntry = false;
  /** Ends the wait in `waitForCheck`. */
  private wakeCheck: (() => void) | undefined;

  public constructor(private readonly options: StoreSessionOptions) {
    const { clock, codec, onConfigurationRead, propagationMilliseconds, random, transport } =
      options;
    this.delays = new CancellableDelays(random);
    this.recentRemovals = new RecentRemovals(clock);
    this.storeClient = new StoreClient({
      clock,
      codec,
      events: {
        onFirstEra: (era) => {
          this.entryEra = era;
          options.onEraObserved(era, false);
        },
        onReachabilityChange: (isReachable, detail) => {
          this.handleReachabilityChange(isReachable, detail);
        },
        onRestored: (era) => {
          this.handleStoreRestored(era);
        },
      },
      transport,
    });
    this.sharedRecords = new SharedRecords({
      codec,
      delays: this.delays,
      prefix: options.recordPrefix,
      storeClient: this.storeClient,
    });
    this.departureRecords = new ConfirmedRecords({
      clock,
      codec,
      delays: this.delays,
      prefix: options.departurePrefix,
      storeClient: this.storeClient,
    });
    this.operatorReader = new OperatorReader({
      storeClient: this.storeClient,
      codec,
      delays: this.delays,
      onConfigurationRead,
      isProofDue: options.isProofDue,
      onUpToDate: options.onConfigurationConfirmed,
      proofClock: options.proofClock,
      propagationMilliseconds,
      wallClock: options.wallClock,
      watchTurn: options.watchTurn,
      onEvacuationsRead: (read) => {
        options.onEvacuationsRead(read, this.storeClient.currentEra);
      },
    });
  }

  public start(): void {
    void this.maintainEntry();
    void this.operatorReader.run();
    void this.checkPeriodically();
    void this.removeExpiredDepartures();
  }

  /** Keeps a record for nodes that start later; it replaces an earlier one with this name. */
  public writeRecord(name: string, value: Uint8Array): void {
    void this.sharedRecords.write(name, value);
  }

  public removeRecord(name: string): void {
    void this.sharedRecords.remove(name);
  }

  /** Resolves to whether the store has acknowledged the record within the time that a leaving server waits. */
  public async writeDeparture(name: string, value: Uint8Array): Promise<boolean> {
    return this.departureRecords.write(name, value);
  }

  /** Reads the departures of an instance, up to date; resolves to undefined only when the session is closed. */
  public async readDepartures(group: string): Promise<DepartureRead | undefined> {
    const values = await this.departureRecords.read(group);
    if (values === undefined) return undefined;
    // The entry was written before any departure was recorded.
    await this.registration;
    return { isComplete: this.recordsEra === this.storeClient.currentEra, values };
  }

  /** The server has proved that it is running, so departures that the store may have lost no longer matter. */
  public async coverDepartures(): Promise<void> {
    const { currentEra } = this.storeClient;
    if (!this.isRegistered || this.recordsEra === currentEra) return;
    this.recordsEra = currentEra;
    for (let failures = 0; !this.isClosed && !(await this.writeEntry()); failures += 1)
      await this.delays.backOff(failures + 1);
  }

  /** Starts or stops watching the configuration, with immediate effect. */
  public setConfigurationWatching(isWatching: boolean): void {
    this.isWatching = isWatching;
    this.operatorReader.setWatching(isWatching);
    if (isWatching) this.wakeCheck?.();
  }

  /**
   * Reads what operators wrote once, up to date, while watching is disabled. A check at a tenth of the price comes first, and
   * once more on another connection, since one that was idle may be dead.
   */
  public async refreshConfiguration(): Promise<void> {
    if ((await this.check()) || (await this.check())) this.operatorReader.requestRead();
  }

  /** Reads what operators wrote once, up to date; a pending watch starts anew after it. */
  public proveConfiguration(): void {
    if (this.isWatching) this.operatorReader.restartWatch();
    else this.operatorReader.requestRead();
  }

  /** Another node reported this era. It takes effect only when a response of the store itself confirms it. */
  public handleReportedEra(era: number): void {
    const known = this.storeClient.currentEra ?? -Infinity;
    if (this.isClosed || era <= Math.max(known, this.highestReportedEra)) return;
    this.highestReportedEra = era;
    void this.confirmEra(era);
  }

  /** Reads the directory again and checks this node's entry: periodically, and while no peer is connected. */
  public async refreshDirectory(): Promise<void> {
    const items = this.isClosed ? undefined : await this.readDirectory();
    if (items !== undefined) await this.checkEntry(items);
  }

  /** Removes this node's entry, so that new nodes do not try to connect to it. */
  public async leave(): Promise<void> {
    this.close();
    await this.removeEntry(this.options.nodeName, () => true);
  }

  /** Removes the entry of a node if it is the expected one and is not written concurrently. */
  public async removeEntry(name: string, isExpected: EntryPredicate): Promise<void> {
    const item = await this.readEntry(name);
    if (item === undefined || !isExpected(item.value)) return;
    const eraOfRead = this.storeClient.currentEra;
    this.recentRemovals.add(name, isExpected);
    const removed = await this.storeClient.call(this.options.codec.remove(item.key, item.revision));
    // After a lost response the entry may still exist; the next node that fails to connect to it tries again.
    if (removed.kind !== 'ok' && eraOfRead === this.storeClient.currentEra)
      this.recentRemovals.discard(name);
  }

  public close(): void {
    this.isClosed = true;
    this.operatorReader.close();
    this.sharedRecords.close();
    this.departureRecords.close();
    this.endRegistration();
    this.wakeCheck?.();
    this.delays.close();
  }

  private async maintainEntry(): Promise<void> {
    let failures = 0;
    while (!this.isClosed && !(await this.register())) {
      failures += 1;
      await this.delays.backOff(failures);
    }
    const rereads = this.isFirstRegistration ? startupRereadDelaysMilliseconds : [];
    for (let reread = 0; !this.isClosed; reread += 1) {
      await this.delays.sleep(rereads[reread] ?? directoryReadIntervalMilliseconds);
      await this.refreshDirectory();
    }
  }

  /** Only the first node that watches removes records, since each removal is billed. */
  private async removeExpiredDepartures(): Promise<void> {
    const { isDepartureExpired, watchTurn } = this.options;
    for (;;) {
      await this.delays.sleep(expiryCheckIntervalMilliseconds);
      if (this.isClosed) return;
      if (this.isWatching && watchTurn().index === 0)
        await this.departureRecords.removeExpired(isDepartureExpired);
    }
  }

  /** Reads the other entries first, so that requests can be served early, and writes the entry unless it is current. */
  private async register(): Promise<boolean> {
    const items = await this.readDirectory();
    if (items === undefined) return false;
    if (!this.isRegistered) {
      const own = this.findOwnEntry(items);
      this.recordsEra =
        own === undefined ? this.storeClient.currentEra : this.options.readRecordsEra(own.value);
      this.isRegistered = true;
      this.endRegistration();
    }
    if (this.hasCurrentEntry(items)) return true;
    this.isFirstRegistration = true;
    return this.writeEntry();
  }

  private async writeEntry(): Promise<boolean> {
    const { codec, createEntry, nodeName } = this.options;
    const entry = createEntry(this.recordsEra);
    const written = await this.storeClient.call(codec.write(this.entryKey(nodeName), entry));
    return written.kind === 'ok';
  }

  private async readDirectory(): Promise<readonly StoredItem[] | undefined> {
    const {
      commonPrefix,
      directoryPrefix,
      onDirectoryRead,
      onEntryRead,
      onRecordRead,
      recordPrefix,
    } = this.options;
    const outcome = await this.storeClient.list(commonPrefix, true);
    if (outcome.kind !== 'ok') return undefined;
    const { items } = outcome.value;
    for (const { key, value } of items) if (key.startsWith(recordPrefix)) onRecordRead(value);
    const entries = items.filter(({ key }) => key.startsWith(directoryPrefix));
    for (const entry of entries) onEntryRead(entry);
    onDirectoryRead();
    return entries;
  }

  /** Checks while necessary that the store responds, with a call that also reads this node's entry. */
  private async checkPeriodically(): Promise<void> {
    for (;;) {
      const isDue = await this.waitForCheck(this.checkIntervalMilliseconds);
      if (this.isClosed) return;
      if (isDue) await this.check();
    }
  }

  private get checkIntervalMilliseconds(): number | undefined {
    const { propagationMilliseconds } = this.options;
    if (this.isWatching) return propagationMilliseconds * watchingCheckShare;
    return this.storeClient.isReachable
      ? undefined
      : propagationMilliseconds * unreachableCheckShare;
  }

  /** Returns whether the store responded in time. */
  private async check(): Promise<boolean> {
    const { onConfigurationConfirmed, propagationMilliseconds } = this.options;
    const wasFollowing = this.operatorReader.isFollowing();
    const outcome = await this.listOwnEntry(true, propagationMilliseconds * checkTimeoutShare);
    if (outcome.kind !== 'ok' || this.isClosed) return false;
    if (wasFollowing && this.operatorReader.isFollowing()) onConfigurationConfirmed(undefined);
    await this.checkEntry(outcome.value.items);
    return true;
  }

  /** Writes the entry again if reads have lacked it for `missingEntryMilliseconds`. */
  private async checkEntry(items: readonly StoredItem[]): Promise<void> {
    const now = this.options.clock();
    const key = this.entryKey(this.options.nodeName);
    if (items.some((item) => item.key === key)) {
      this.entryMissingSince = undefined;
      return;
    }
    this.entryMissingSince ??= now;
    if (now - this.entryMissingSince < missingEntryMilliseconds) return;
    if (await this.writeEntry()) this.entryMissingSince = undefined;
  }

  /** Reads from the store until it confirms an era that another node reported; the last read is up to date. */
  private async confirmEra(era: number): Promise<void> {
    for (let reads = 0; reads <= staleReadsOfNewEra && !this.isClosed; reads += 1) {
      await this.delays.sleepWithJitter(entryCheckJitterMilliseconds);
      if ((this.storeClient.currentEra ?? -Infinity) >= era) return;
      await this.listOwnEntry(reads < staleReadsOfNewEra);
    }
  }

  /** Called when the store was restored from an older copy. */
  private handleStoreRestored(era: number): void {
    this.options.onEraObserved(era, true);
    this.operatorReader.handleStoreRestored();
    void this.restoreEntry();
    this.departureRecords.handleStoreRestored();
    for (const [name, isExpected] of this.recentRemovals.recent()) {
      void this.removeEntry(name, isExpected);
    }
    // Entries of nodes that ended earlier may exist again; nodes that fail to connect to these remove them.
    if (this.isWatching) void this.readDirectory();
  }

  /** Ensures that the entry exists in the current era, confirmed by a response of that era. */
  private async restoreEntry(): Promise<void> {
    if (this.isRestoringEntry) return;
    this.isRestoringEntry = true;
    await this.delays.sleepWithJitter(entryCheckJitterMilliseconds);
    let failures = 0;
    while (!this.isClosed && this.entryEra !== this.storeClient.currentEra) {
      const era = this.storeClient.currentEra;
      if (await this.ensureEntry(failures < staleReadsOfNewEra)) {
        this.entryEra = era;
        continue;
      }
      failures += 1;
      await this.delays.backOff(failures);
    }
    this.isRestoringEntry = false;
  }

  private async ensureEntry(isStaleAllowed: boolean): Promise<boolean> {
    const outcome = await this.listOwnEntry(isStaleAllowed);
    if (outcome.kind !== 'ok') return false;
    return this.hasCurrentEntry(outcome.value.items) || (await this.writeEntry());
  }

  private listOwnEntry(
    isStaleAllowed: boolean,
    responseTimeoutMilliseconds?: number,
  ): Promise<StoreClientOutcome<ItemPage>> {
    const { codec, nodeName } = this.options;
    const call = codec.list(this.entryKey(nodeName), undefined, isStaleAllowed);
    return this.storeClient.call(
      responseTimeoutMilliseconds === undefined ? call : { ...call, responseTimeoutMilliseconds },
    );
  }

  private hasCurrentEntry(items: readonly StoredItem[]): boolean {
    const own = this.findOwnEntry(items);
    return own !== undefined && this.options.isEntryCurrent(own.value);
  }

  private findOwnEntry(items: readonly StoredItem[]): StoredItem | undefined {
    return items.find(({ key }) => key === this.entryKey(this.options.nodeName));
  }

  private async readEntry(name: string): Promise<StoredItem | undefined> {
    const key = this.entryKey(name);
    const outcome = await this.storeClient.list(key, false);
    if (outcome.kind !== 'ok') return undefined;
    return outcome.value.items.find((item) => item.key === key);
  }

  private entryKey(name: string): string {
    return `${this.options.directoryPrefix}${name}`;
  }

  private handleReachabilityChange(isReachable: boolean, detail: string): void {
    if (isReachable) this.operatorReader.restartWatch();
    this.wakeCheck?.();
    this.options.onReachabilityChange(isReachable, detail);
  }

  /**
   * Waits for the given time; without one, until `wakeCheck` is called. Resolves to false if `wakeCheck` ended the
   * wait, since the time to wait may have changed.
   */
  private async waitForCheck(milliseconds: number | undefined): Promise<boolean> {
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
