import type { ItemPage, StoreCallCodec } from './key-value-store.js';
import type { Pauses } from './pauses.js';
import type { AccessOutcome, StoreAccess } from './store-access.js';

/** Time that a watch waits for a change; the store holds one for 30 s at most, and each costs a call. */
const watchMilliseconds = 29_000;
/** Pause after a watch that brought changes, so that a series of changes costs few calls. */
const watchPauseMilliseconds = 150;

/** How new the next read has to be. */
const ReadNeed = {
  /** Its answer may be seconds old. */
  Old: 'old',
  Exact: 'exact',
  /** Exact, after a read that may be old has shown that the store answers. */
  ExactOnceReached: 'exact-once-reached',
} as const;
type ReadNeed = (typeof ReadNeed)[keyof typeof ReadNeed];

export interface ConfigurationReadingOptions {
  readonly access: StoreAccess;
  readonly codec: StoreCallCodec;
  readonly pauses: Pauses;
  readonly read: (content: Uint8Array) => void;
}

/** Reads the configuration once, and watches it while it is told to. */
export class ConfigurationReading {
  private isClosed = false;
  private isWatching = false;
  /** What was read is from a copy of the store that has been replaced. */
  private isOutdated = false;
  /** Ends the wait for the duty to watch. */
  private wake: (() => void) | undefined;
  /** Ends the watch that waits, when it may have missed a change. */
  private watching = new AbortController();

  public constructor(private readonly options: ConfigurationReadingOptions) {}

  /** Whether this node watches the configuration; the change is in force at once. */
  public watch(isWatching: boolean): void {
    this.isWatching = isWatching;
    if (isWatching) this.wake?.();
    else this.watching.abort();
  }

  /** A watch that waited through an outage may never be answered. */
  public restartWatch(): void {
    this.watching.abort();
  }

  /** The store came back from an older copy, which gives revisions out again: nothing read before is a start. */
  public restored(): void {
    this.isOutdated = true;
    this.watching.abort();
  }

  public close(): void {
    this.isClosed = true;
    this.watching.abort();
    this.wake?.();
  }

  public async follow(): Promise<void> {
    const { codec, pauses, read } = this.options;
    let revision: number | undefined;
    let hasRead = false;
    let failures = 0;
    // A watch goes on from the revision of an old read and misses nothing, unless the store forgot that history
    // or came back from an older copy meanwhile.
    let need: ReadNeed = ReadNeed.Old;
    while (!this.isClosed) {
      if (hasRead && !this.isWatching) {
        await this.untilWatching();
        // Changes since the last answer may be beyond the store's history.
        revision = undefined;
        need = ReadNeed.Old;
        continue;
      }
      if (this.isOutdated) {
        this.isOutdated = false;
        revision = undefined;
        need = ReadNeed.Exact;
      }
      const wasWatch = revision !== undefined;
      const outcome =
        revision === undefined ? await this.readOnce(need) : await this.watchOnce(revision);
      if (outcome.kind !== 'ok') {
        const wasInterrupted = wasWatch && this.watching.signal.aborted;
        failures = wasInterrupted ? 0 : failures + 1;
        revision = undefined;
        need = this.needAfter(outcome.kind);
        if (!wasInterrupted) await pauses.beforeRetry(failures);
        continue;
      }
      failures = 0;
      hasRead = true;
      const { items } = outcome.value;
      revision = outcome.value.revision;
      for (const { key, value } of items) if (key === codec.configurationKey) read(value);
      if (wasWatch && items.length > 0) await pauses.sleep(watchPauseMilliseconds);
    }
  }

  /** While the store may be away, reads that may be old try it, since calls that are refused are billed too. */
  private async readOnce(need: ReadNeed): Promise<AccessOutcome<ItemPage>> {
    const { access, codec } = this.options;
    if (need !== ReadNeed.Exact) {
      const old = await access.list(codec.configurationKey, true);
      if (need === ReadNeed.Old || old.kind !== 'ok') return old;
    }
    return access.list(codec.configurationKey, false);
  }

  /** After a failure nobody knows what the watch missed, and an old read may be from before the outage. */
  private needAfter(failure: 'compacted' | 'missing' | 'outdated' | 'unavailable'): ReadNeed {
    if (failure !== 'unavailable') return ReadNeed.Exact;
    return this.isWatching ? ReadNeed.ExactOnceReached : ReadNeed.Old;
  }

  /** If it is not answered, the watch has to start again from a read. */
  private async watchOnce(revision: number): Promise<AccessOutcome<ItemPage>> {
    const { access, codec } = this.options;
    this.watching = new AbortController();
    const call = codec.watch(codec.configurationKey, revision, watchMilliseconds);
    return access.call(call, this.watching.signal);
  }

  private async untilWatching(): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      this.wake = resolve;
    });
    this.wake = undefined;
  }
}
