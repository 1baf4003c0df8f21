import type { StoreEntry, StoreResult } from '@peridotspring/core';

import type { GatewayClient } from './gateway-client.js';
import { encodeBase64, toStoreEntry, watchMessageSchema } from './gateway-responses.js';

/** Reads one key; the result is `undefined` if the call failed. */
export type ReadKey = (
  key: string,
  onResult: (result: StoreEntry | 'missing' | undefined) => void,
) => void;

interface Waiter {
  readonly afterVersion: number;
  readonly onResult: (result: StoreResult) => void;
}

/** One watch stream on a key, shared by all waiters for that key. */
export class KeyWatch {
  private readonly waiters = new Set<Waiter>();
  private latestEntry: StoreEntry | undefined;
  private hasEnded = false;
  /** The store has confirmed the watch, or this node closed the stream. */
  private isConfirmedOrClosed = false;
  private readonly endStream: () => void;
  private readonly readTimer: NodeJS.Timeout;

  public constructor(
    client: GatewayClient,
    private readonly key: string,
    private readonly read: ReadKey,
    /** Interval of additional reads of the key, since a stream can stay open without delivering anything. */
    readIntervalMilliseconds: number,
    /** Called once; the argument is false if the stream ended before the store had confirmed the watch. */
    private readonly onEnded: (wasConfirmedOrClosed: boolean) => void,
  ) {
    const body = { create_request: { key: encodeBase64(key) } };
    this.endStream = client.stream('/v3/watch', body, {
      onLine: (value) => {
        this.handleLine(value);
      },
      onEnded: () => {
        this.finish();
      },
    });
    this.readTimer = setInterval(() => {
      this.readLatestEntry();
    }, readIntervalMilliseconds);
  }

  /** Waits for a version above `afterVersion`; the result is `unknown` if the stream ends first. */
  public waitForNewerVersion(afterVersion: number, onResult: (result: StoreResult) => void): void {
    if (this.latestEntry !== undefined && this.latestEntry.version > afterVersion) {
      const entry = this.latestEntry;
      queueMicrotask(() => {
        onResult({ kind: 'found', entry });
      });
      return;
    }
    this.waiters.add({ afterVersion, onResult });
  }

  public close(): void {
    // A stream that this node closes is no sign of an outage of the store.
    this.isConfirmedOrClosed = true;
    this.endStream();
    this.finish();
  }

  private handleLine(value: unknown): void {
    const parsed = watchMessageSchema.safeParse(value);
    if (!parsed.success || parsed.data.result.canceled) {
      this.close();
      return;
    }
    this.isConfirmedOrClosed = true;
    // Changes that were made before the stream was open are found by this read.
    if (parsed.data.result.created) this.readLatestEntry();
    for (const event of parsed.data.result.events) {
      if (event.type === 'DELETE') this.latestEntry = undefined;
      else this.updateLatestEntry(toStoreEntry(event.kv));
    }
  }

  private readLatestEntry(): void {
    // A stream without waiters is closed, which ends the watch at the store.
    if (this.waiters.size === 0 && this.latestEntry !== undefined) {
      this.close();
      return;
    }
    this.read(this.key, (result) => {
      if (this.hasEnded) return;
      if (result === undefined) this.close();
      else if (result !== 'missing') this.updateLatestEntry(result);
    });
  }

  private updateLatestEntry(entry: StoreEntry): void {
    if (this.latestEntry !== undefined && this.latestEntry.version >= entry.version) return;
    this.latestEntry = entry;
    for (const waiter of [...this.waiters]) {
      if (entry.version <= waiter.afterVersion) continue;
      this.waiters.delete(waiter);
      waiter.onResult({ kind: 'found', entry });
    }
  }

  private finish(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearInterval(this.readTimer);
    this.onEnded(this.isConfirmedOrClosed);
    for (const waiter of this.waiters) {
      waiter.onResult({ kind: 'unknown' });
    }
    this.waiters.clear();
  }
}
