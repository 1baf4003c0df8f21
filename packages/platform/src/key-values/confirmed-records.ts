import { BoundedMap } from '@peridotspring/mesh-core';

import { callUntilSuccess } from './call-until-success.js';
import type { CancellableDelays } from './cancellable-delays.js';
import type { StoreCallCodec } from './key-value-store.js';
import type { StoreClient } from './store-client.js';

/** Time within which a write must be acknowledged; the server that waits for it gives up after a second. */
const confirmationMilliseconds = 850;
/** A write goes on for this long, so that it is confirmed at once when the server repeats its message. */
const writingMilliseconds = 10_000;
/** Time to wait for one response. A call that has not been answered by then is one whose response is lost. */
const responseTimeoutMilliseconds = 4_000;
/** A restored copy of the store is some seconds old, so it holds all records that were written earlier. */
const rewriteMilliseconds = 60_000;
/** Number of records that are written again after a restore. */
const maximumRewrites = 64;

interface WrittenRecord {
  readonly value: Uint8Array;
  readonly writtenAt: number;
}

interface PendingWrite {
  isWritten: Promise<boolean> | undefined;
}

export interface ConfirmedRecordsOptions {
  readonly storeClient: Pick<StoreClient, 'call' | 'list'>;
  readonly codec: StoreCallCodec;
  readonly clock: () => number;
  readonly delays: Pick<CancellableDelays, 'backOff' | 'sleep'>;
  /** Key prefix of the records, with a trailing slash. */
  readonly prefix: string;
}

/**
 * Records that have to outlast all processes: a write counts only once the store has acknowledged it, and reads are up to date.
 * Records are never changed, so a write may be repeated.
 */
export class ConfirmedRecords {
  private readonly written = new BoundedMap<string, WrittenRecord>(maximumRewrites);
  /** The newest writes that the store has not acknowledged yet, by name. */
  private readonly pending = new Map<string, PendingWrite>();
  private isClosed = false;

  public constructor(private readonly options: ConfirmedRecordsOptions) {}

  /** Resolves to whether the store has acknowledged the record in time. If not, the write goes on. */
  public async write(name: string, value: Uint8Array): Promise<boolean> {
    if (this.written.get(name) !== undefined) return true;
    const tooLate = this.options.delays.sleep(confirmationMilliseconds).then(() => false);
    return Promise.race([this.beginWrite(name, value), tooLate]);
  }

  /** Reads the records whose names begin with the group and a slash. Resolves to undefined only when this object is closed. */
  public async read(group: string): Promise<readonly Uint8Array[] | undefined> {
    const { prefix, storeClient } = this.options;
    return this.callUntilSuccess(async (isRepeat) => {
      const options = { isRepeat, responseTimeoutMilliseconds };
      const listed = await storeClient.list(`${prefix}${group}/`, false, options);
      return listed.kind === 'ok' ? listed.value.items.map(({ value }) => value) : undefined;
    });
  }

  /** Removes the records that are no longer needed. The read may be old, which only delays the removal. */
  public async removeExpired(isExpired: (value: Uint8Array) => boolean): Promise<void> {
    const { codec, prefix, storeClient } = this.options;
    const listed = await storeClient.list(prefix, true);
    if (listed.kind !== 'ok') return;
    for (const { key, revision, value } of listed.value.items) {
      if (this.isClosed) return;
      if (isExpired(value)) await storeClient.call(codec.remove(key, revision));
    }
  }

  /** Writes the recent records again: the store was restored from a copy that may lack them. */
  public handleStoreRestored(): void {
    const oldest = this.options.clock() - rewriteMilliseconds;
    for (const [name, { value, writtenAt }] of this.written) {
      if (writtenAt < oldest) this.written.delete(name);
      else void this.repeatWrite(name, value);
    }
  }

  public close(): void {
    this.isClosed = true;
  }

  /** Begins at once, also while an earlier write of the record waits before it tries again; either may be acknowledged. */
  private async beginWrite(name: string, value: Uint8Array): Promise<boolean> {
    const { clock } = this.options;
    const earlier = this.pending.get(name);
    const pending: PendingWrite = { isWritten: undefined };
    this.pending.set(name, pending);
    const endsAt = clock() + writingMilliseconds;
    const mayContinue = (): boolean => this.pending.get(name) === pending && clock() < endsAt;
    pending.isWritten = isAnyTrue([
      earlier?.isWritten ?? Promise.resolve(false),
      this.repeatWrite(name, value, mayContinue),
    ]);
    const isWritten = await pending.isWritten;
    if (this.pending.get(name) === pending) this.pending.delete(name);
    return isWritten;
  }

  /** Resolves to whether the store has acknowledged the record. */
  private async repeatWrite(
    name: string,
    value: Uint8Array,
    mayContinue?: () => boolean,
  ): Promise<boolean> {
    const { clock, codec, prefix, storeClient } = this.options;
    const call = { ...codec.write(`${prefix}${name}`, value), responseTimeoutMilliseconds };
    const isWritten = await this.callUntilSuccess(async (isRepeat) => {
      const { kind } = await storeClient.call({ ...call, isRepeat });
      return kind === 'ok' ? true : undefined;
    }, mayContinue);
    if (isWritten === undefined) return false;
    this.written.set(name, { value, writtenAt: clock() });
    return true;
  }

  private async callUntilSuccess<Value>(
    call: (isRepeat: boolean) => Promise<Value | undefined>,
    mayContinue: () => boolean = () => true,
  ): Promise<Value | undefined> {
    const { delays } = this.options;
    return callUntilSuccess({ call, delays, mayContinue: () => !this.isClosed && mayContinue() });
  }
}

/** Resolves to true as soon as one of the promises does. */
async function isAnyTrue(promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const promise of promises)
      void promise.then((value) => {
        if (value) resolve(true);
      });
    void Promise.all(promises).then((values) => {
      resolve(values.includes(true));
    });
  });
}
