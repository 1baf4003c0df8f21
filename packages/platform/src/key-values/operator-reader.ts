import type { EvacuatedZone, EvacuationRead, WatchTurn } from '@peridotspring/mesh-core';

import type { ItemPage, StoreCallCodec, StoredItem } from './key-value-store.js';
import type { CancellableDelays } from './cancellable-delays.js';
import type { StoreClientOutcome, StoreClient } from './store-client.js';
import { watchHoldMilliseconds } from './watch-schedule.js';

/**
 * Time to wait for the response to a watch after the store should have sent it, as a share of the time within which a
 * change must be in force everywhere.
 */
const watchTimeoutShare = 0.3;
/** Delay after a watch that returned changes, so that a burst of changes costs few calls. */
const watchPauseMilliseconds = 150;

/** Hold of a watch that only shows whether there are changes. */
const provingHoldMilliseconds = 1;

/** Consistency that the next read requires. */
const ReadConsistency = {
  /** The result may be seconds old. */
  StaleAllowed: 'old',
  UpToDate: 'exact',
  /** Up to date, but only after a stale read has shown that the store responds. */
  UpToDateOnceReachable: 'exact-once-reached',
} as const;
type ReadConsistency = (typeof ReadConsistency)[keyof typeof ReadConsistency];

export interface OperatorReaderOptions {
  readonly storeClient: StoreClient;
  readonly codec: StoreCallCodec;
  readonly delays: CancellableDelays;
  /** Time within which a change by an operator must be in force on each node. */
  readonly propagationMilliseconds: number;
  readonly onConfigurationRead: (content: Uint8Array) => void;
  readonly onEvacuationsRead: (read: EvacuationRead) => void;
  /** Time of day in Unix milliseconds. */
  readonly wallClock: () => number;
  /** The place of this node among those that watch. */
  readonly watchTurn: () => WatchTurn;
  /**
   * Called after each response that shows everything that operators have written. `sentAt` is the time on `proofClock`
   * before the call was sent; undefined if the response may come from a copy of the store that has been replaced.
   */
  readonly onUpToDate: (sentAt: number | undefined) => void;
  readonly proofClock: () => number;
  /** Whether the next watch should be answered at once, to prove what the store holds. */
  readonly isProofDue: () => boolean;
}

/**
 * Reads what operators write, the configuration and the evacuated zones, once at start, and watches it for changes
 * while watching is enabled.
 */
export class OperatorReader {
  private isClosed = false;
  private isWatching = false;
  private isWatchPending = false;
  /** An up-to-date read was requested while watching is disabled. */
  private isReadRequested = false;
  /** The last revision belongs to a copy of the store that has been replaced. */
  private isRevisionOutdated = false;
  /** Ends the wait in `waitUntilWatching`. */
  private resumeWatching: (() => void) | undefined;
  /** Aborts the pending watch when it may have missed a change. */
  private watchAbort = new AbortController();

  public constructor(private readonly options: OperatorReaderOptions) {}

  /** Starts or stops watching, with immediate effect. */
  public setWatching(isWatching: boolean): void {
    this.isWatching = isWatching;
    if (isWatching) this.resumeWatching?.();
    else this.watchAbort.abort();
  }

  /** Whether a watch is waiting for changes; all earlier ones have been delivered. */
  public isFollowing(): boolean {
    return this.isWatchPending;
  }

  /** Reads once, up to date, while watching is disabled. */
  public requestRead(): void {
    if (this.isWatching) return;
    this.isReadRequested = true;
    this.resumeWatching?.();
  }

  /** Restarts the pending watch. One that was open during an outage may never be answered. */
  public restartWatch(): void {
    this.watchAbort.abort();
  }

  /**
   * The store was restored from an older copy and assigns revisions a second time, so a watch cannot continue from an
   * earlier revision.
   */
  public handleStoreRestored(): void {
    this.isRevisionOutdated = true;
    this.watchAbort.abort();
  }

  public close(): void {
    this.isClosed = true;
    this.watchAbort.abort();
    this.resumeWatching?.();
  }

  public async run(): Promise<void> {
    const { delays, isProofDue, proofClock } = this.options;
    let isProving = false;
    let hasReadChange = false;
    let revision: number | undefined;
    let hasRead = false;
    let failures = 0;
    // A watch that continues from the revision of a stale read misses no change, unless the store has compacted
    // that history or was restored from an older copy in the meantime.
    let consistency: ReadConsistency = ReadConsistency.StaleAllowed;
    while (!this.isClosed) {
      if (hasRead && !this.isWatching && !this.isReadRequested) {
        await this.waitUntilWatching();
        // The store may have compacted the changes since the last response.
        revision = undefined;
        consistency = ReadConsistency.StaleAllowed;
        continue;
      }
      if (this.isRevisionOutdated || this.isReadRequested) {
        this.isRevisionOutdated = false;
        this.isReadRequested = false;
        revision = undefined;
        consistency = ReadConsistency.UpToDate;
      }
      const wasWatch = revision !== undefined;
      // Never twice in a row, in case the response is not accepted as a proof, and not on each node that reads a change.
      isProving = wasWatch && !isProving && !hasReadChange && isProofDue();
      const sentAt = proofClock();
      const outcome: StoreClientOutcome<ItemPage> = await (revision === undefined
        ? this.readOnce(consistency)
        : this.watchOnce(revision, isProving));
      if (outcome.kind !== 'ok') {
        const wasInterrupted = wasWatch && this.watchAbort.signal.aborted;
        failures = wasInterrupted ? 0 : failures + 1;
        revision = undefined;
        consistency = this.consistencyAfter(outcome.kind);
        if (!wasInterrupted) await delays.backOff(failures);
        continue;
      }
      failures = 0;
      hasRead = true;
      const page: ItemPage = outcome.value;
      revision = page.revision;
      this.deliver(page, !wasWatch);
      if (wasWatch || consistency !== ReadConsistency.StaleAllowed) this.confirm(sentAt);
      hasReadChange = wasWatch && page.items.length + page.removedKeys.length > 0;
      if (hasReadChange) await delays.sleep(watchPauseMilliseconds);
    }
  }

  /** A response that revealed a restored store may continue from a revision of the earlier copy, so it proves nothing. */
  private confirm(sentAt: number): void {
    this.options.onUpToDate(this.isRevisionOutdated ? undefined : sentAt);
  }

  private deliver({ items, removedKeys, revision }: ItemPage, isComplete: boolean): void {
    const { codec, onConfigurationRead, onEvacuationsRead } = this.options;
    const itemByKey = new Map<string, StoredItem>();
    for (const item of items) {
      if (item.key === codec.configurationKey) onConfigurationRead(item.value);
      else itemByKey.set(item.key, item);
    }
    const endedZones: string[] = [];
    for (const { key, revision: removedAt } of removedKeys) {
      if ((itemByKey.get(key)?.revision ?? 0) > removedAt) continue;
      itemByKey.delete(key);
      const availabilityZone = codec.parseEvacuationKey(key);
      if (availabilityZone !== undefined) endedZones.push(availabilityZone);
    }
    const zones: EvacuatedZone[] = [];
    for (const { key, revision: writtenAt } of itemByKey.values()) {
      const availabilityZone = codec.parseEvacuationKey(key);
      if (availabilityZone !== undefined) zones.push({ availabilityZone, revision: writtenAt });
    }
    onEvacuationsRead({ endedZones, isComplete, revision, zones });
  }

  /** While the store may be unreachable, it is probed with stale reads, since rejected calls are billed as well. */
  private async readOnce(consistency: ReadConsistency): Promise<StoreClientOutcome<ItemPage>> {
    const { storeClient, codec } = this.options;
    if (consistency !== ReadConsistency.UpToDate) {
      const staleRead = await storeClient.list(codec.operatorPrefix, true);
      if (consistency === ReadConsistency.StaleAllowed || staleRead.kind !== 'ok') return staleRead;
    }
    return storeClient.list(codec.operatorPrefix, false);
  }

  /** After a failure the watch may have missed changes, and a stale read may predate the outage. */
  private consistencyAfter(
    failure: 'compacted' | 'missing' | 'outdated' | 'unavailable',
  ): ReadConsistency {
    if (failure !== 'unavailable') return ReadConsistency.UpToDate;
    return this.isWatching ? ReadConsistency.UpToDateOnceReachable : ReadConsistency.StaleAllowed;
  }

  /** After a failed watch, the next one has to start from a new read. */
  private async watchOnce(
    revision: number,
    isProving: boolean,
  ): Promise<StoreClientOutcome<ItemPage>> {
    const { codec, propagationMilliseconds, storeClient, wallClock, watchTurn } = this.options;
    this.watchAbort = new AbortController();
    const holdMilliseconds = isProving
      ? provingHoldMilliseconds
      : watchHoldMilliseconds(watchTurn(), propagationMilliseconds, wallClock());
    const call = {
      ...codec.watch(codec.operatorPrefix, revision, holdMilliseconds),
      responseTimeoutMilliseconds: propagationMilliseconds * watchTimeoutShare,
    };
    this.isWatchPending = true;
    const outcome = await storeClient.call(call, this.watchAbort.signal);
    this.isWatchPending = false;
    return outcome;
  }

  private async waitUntilWatching(): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      this.resumeWatching = resolve;
    });
    this.resumeWatching = undefined;
  }
}
