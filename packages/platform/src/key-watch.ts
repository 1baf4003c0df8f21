import type { StoreEntry, StoreResult } from '@peridotspring/core';

import type { GatewayClient } from './gateway-client.js';
import { encode, toStoreEntry, watchLine } from './gateway-replies.js';

/** Reads one key; undefined means that no answer came. */
export type ReadKey = (
  key: string,
  deliver: (result: StoreEntry | 'missing' | undefined) => void,
) => void;

interface Waiter {
  readonly afterVersion: number;
  readonly deliver: (result: StoreResult) => void;
}

/** One watch stream on a key, shared by everyone who waits for that key. */
export class KeyWatch {
  private readonly waiters = new Set<Waiter>();
  private newest: StoreEntry | undefined;
  private hasEnded = false;
  private isAnswered = false;
  private readonly endStream: () => void;
  private readonly readTimer: NodeJS.Timeout;

  public constructor(
    client: GatewayClient,
    private readonly key: string,
    private readonly read: ReadKey,
    /** A stream can stay open and carry nothing, so the key is also read this often. */
    readIntervalMilliseconds: number,
    /** Told whether the store had confirmed the watch, or nobody waited for that any more. */
    private readonly ended: (wasAnswered: boolean) => void,
  ) {
    const body = { create_request: { key: encode(key) } };
    this.endStream = client.stream('/v3/watch', body, {
      line: (value) => {
        this.line(value);
      },
      ended: () => {
        this.end();
      },
    });
    this.readTimer = setInterval(() => {
      this.refresh();
    }, readIntervalMilliseconds);
  }

  /** Waits for a version above the given one; delivers `unknown` when the stream ends first. */
  public wait(afterVersion: number, deliver: (result: StoreResult) => void): void {
    if (this.newest !== undefined && this.newest.version > afterVersion) {
      const entry = this.newest;
      queueMicrotask(() => {
        deliver({ kind: 'found', entry });
      });
      return;
    }
    this.waiters.add({ afterVersion, deliver });
  }

  public close(): void {
    // A stream that this side ends says nothing of the store.
    this.isAnswered = true;
    this.endStream();
    this.end();
  }

  private line(value: unknown): void {
    const parsed = watchLine.safeParse(value);
    if (!parsed.success || parsed.data.result.canceled) {
      this.close();
      return;
    }
    this.isAnswered = true;
    // What changed before the stream was open is found by reading once it is.
    if (parsed.data.result.created) this.refresh();
    for (const event of parsed.data.result.events) {
      if (event.type === 'DELETE') this.newest = undefined;
      else this.learn(toStoreEntry(event.kv));
    }
  }

  private refresh(): void {
    // A stream that nobody waits on any more is given back to the store.
    if (this.waiters.size === 0 && this.newest !== undefined) {
      this.close();
      return;
    }
    this.read(this.key, (result) => {
      if (this.hasEnded) return;
      if (result === undefined) this.close();
      else if (result !== 'missing') this.learn(result);
    });
  }

  private learn(entry: StoreEntry): void {
    if (this.newest !== undefined && this.newest.version >= entry.version) return;
    this.newest = entry;
    for (const waiter of [...this.waiters]) {
      if (entry.version <= waiter.afterVersion) continue;
      this.waiters.delete(waiter);
      waiter.deliver({ kind: 'found', entry });
    }
  }

  private end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearInterval(this.readTimer);
    this.ended(this.isAnswered);
    for (const waiter of this.waiters) {
      waiter.deliver({ kind: 'unknown' });
    }
    this.waiters.clear();
  }
}
