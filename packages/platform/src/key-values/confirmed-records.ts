import { BoundedMap } from '@peridotspring/mesh-core';

import type { CancellableDelays } from './cancellable-delays.js';
import type { StoreCallCodec } from './key-value-store.js';
import type { StoreClient } from './store-client.js';

/** Time within which a write must be acknowledged; the server that waits for it gives up after a second. */
const writeTimeoutMilliseconds = 850;
/** Time to wait for one response, so that a call whose response is lost is repeated in time. */
const responseTimeoutMilliseconds = 500;
/** A restored copy of the store is some seconds old, so it holds all records that were written earlier. */
const rewriteMilliseconds = 60_000;
/** Number of records that are written again after a restore. */
const maximumRewrites = 64;

interface WrittenRecord {
  readonly value: Uint8Array;
  readonly writtenAt: number;
}

export interface ConfirmedRecordsOptions {
  readonly storeClient: Pick<StoreClient, 'call' | 'list'>;
  readonly codec: StoreCallCodec;
  readonly clock: () => number;
  readonly delays: Pick<CancellableDelays, 'backOff'>;
  /** Key prefix of the records, with a trailing slash. */
  readonly prefix: string;
}

/**
 * Records that have to outlast all processes: a write counts only once the store has acknowledged it, and reads are up to date.
 * Records are never changed, so a write may be repeated.
 */
export class ConfirmedRecords {
  private readonly written = new BoundedMap<string, WrittenRecord>(maximumRewrites);
  private isClosed = false;

  public constructor(private readonly options: ConfirmedRecordsOptions) {}

  /** Resolves to whether the store has acknowledged the record in time. */
  public async write(name: string, value: Uint8Array): Promise<boolean> {
    const { clock, delays } = this.options;
    const dueAt = clock() + writeTimeoutMilliseconds;
    for (let failures = 0; !this.isClosed; failures += 1) {
      if (failures > 0) await delays.backOff(failures, dueAt - clock());
      const remaining = dueAt - clock();
      if (remaining <= 0) return false;
      if (await this.tryWrite(name, value, Math.min(remaining, responseTimeoutMilliseconds)))
        return true;
    }
    return false;
  }

  /** Reads the records whose names begin with the group and a slash. Resolves to undefined only when this object is closed. */
  public async read(group: string): Promise<readonly Uint8Array[] | undefined> {
    const { delays, prefix, storeClient } = this.options;
    for (let failures = 0; !this.isClosed; failures += 1) {
      if (failures > 0) await delays.backOff(failures);
      const listed = await storeClient.list(
        `${prefix}${group}/`,
        false,
        responseTimeoutMilliseconds,
      );
      if (listed.kind === 'ok') return listed.value.items.map(({ value }) => value);
    }
    return undefined;
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
      else void this.rewrite(name, value);
    }
  }

  public close(): void {
    this.isClosed = true;
  }

  private async rewrite(name: string, value: Uint8Array): Promise<void> {
    for (let failures = 0; !this.isClosed; failures += 1) {
      if (failures > 0) await this.options.delays.backOff(failures);
      if (await this.tryWrite(name, value, responseTimeoutMilliseconds)) return;
    }
  }

  private async tryWrite(name: string, value: Uint8Array, timeout: number): Promise<boolean> {
    const { clock, codec, prefix, storeClient } = this.options;
    const call = codec.write(`${prefix}${name}`, value);
    const { kind } = await storeClient.call({ ...call, responseTimeoutMilliseconds: timeout });
    if (kind !== 'ok') return false;
    this.written.set(name, { value, writtenAt: clock() });
    return true;
  }
}
