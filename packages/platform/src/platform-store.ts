import type {
  StoreCompareAndSwap,
  StoreEntry,
  StoreList,
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';

import { GatewayClient } from './gateway-client.js';
import { encode, rangeReply, toStoreEntry, transactionReply } from './gateway-replies.js';
import { KeyWatch } from './key-watch.js';

/** How a node reaches the platform's key-value service. */
export interface PlatformStoreOptions {
  /** Base URL, for example `http://127.0.0.1:2379`. */
  readonly url: string;
  /** Called when the service stops answering and when it answers again. */
  readonly reachabilityChanged?: ((isReachable: boolean) => void) | undefined;
  /** Time after which a call counts as unanswered; default 2,000. */
  readonly timeoutMilliseconds?: number | undefined;
  /** How often a watched key is also read, in case its stream is silently dead; default 30,000. */
  readonly watchReadIntervalMilliseconds?: number | undefined;
}

/** Calls sent to the platform and how many of them got no usable answer. */
export interface PlatformCallCounters {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly unanswered: number;
}

const defaultTimeoutMilliseconds = 2_000;
const defaultWatchReadIntervalMilliseconds = 30_000;
/** Weight of the newest answer in the smoothed latency. */
const latencyWeight = 0.1;
/** Connections for reads and writes; more would only queue at the store. */
const maximumConnections = 8;

/** Client of the platform's key-value service through the etcd v3 JSON gateway. */
export class PlatformStore {
  private readonly client: GatewayClient;
  private readonly watches = new Map<string, KeyWatch>();
  private readonly counts = { reads: 0, writes: 0, watches: 0, unanswered: 0 };
  private lastCallAnswered = true;
  private answeredAt: number | undefined;
  private smoothedLatency = 0;
  private closed = false;

  public constructor(private readonly options: PlatformStoreOptions) {
    const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    this.client = new GatewayClient(new URL(options.url), timeout, maximumConnections);
  }

  /** Whether the most recent call was answered. */
  public get reachable(): boolean {
    return this.lastCallAnswered;
  }

  /** Wall time of the last answer; undefined before the first one. */
  public get lastAnswerAt(): number | undefined {
    return this.answeredAt;
  }

  /** Smoothed time from a call to its answer. */
  public get latencyMilliseconds(): number {
    return this.smoothedLatency;
  }

  public get counters(): PlatformCallCounters {
    return { ...this.counts };
  }

  /** Carries out an operation; the result is delivered exactly once, also when the store is closed. */
  public execute(operation: StoreOperation, deliver: (result: StoreResult) => void): void {
    if (this.closed) {
      queueMicrotask(() => {
        deliver({ kind: 'unknown' });
      });
      return;
    }
    switch (operation.kind) {
      case 'read':
        this.read(operation.key, (result) => {
          if (result === undefined) deliver({ kind: 'unknown' });
          else if (result === 'missing') deliver({ kind: 'missing' });
          else deliver({ kind: 'found', entry: result });
        });
        return;
      case 'compare-and-swap':
        this.write(operation, deliver);
        return;
      case 'list':
        this.list(operation, deliver);
        return;
      case 'watch':
        this.watch(operation.key).wait(operation.afterVersion, deliver);
        return;
    }
  }

  /** Ends all calls and watches; what waits gets `unknown`. */
  public close(): void {
    this.closed = true;
    for (const watch of [...this.watches.values()]) {
      watch.close();
    }
    this.client.close();
  }

  private read(key: string, deliver: (result: StoreEntry | 'missing' | undefined) => void): void {
    this.counts.reads += 1;
    const startedAt = performance.now();
    this.client.call('/v3/kv/range', { key: encode(key) }, (reply) => {
      const parsed = rangeReply.safeParse(reply);
      this.noteAnswer(parsed.success, startedAt);
      if (!parsed.success) {
        deliver(undefined);
        return;
      }
      const [found] = parsed.data.kvs;
      deliver(found === undefined ? 'missing' : toStoreEntry(found));
    });
  }

  private list(operation: StoreList, deliver: (result: StoreResult) => void): void {
    this.counts.reads += 1;
    const startedAt = performance.now();
    const body = {
      key: encode(operation.key),
      range_end: encode(operation.end),
      limit: String(operation.limit),
      keys_only: true,
    };
    this.client.call('/v3/kv/range', body, (reply) => {
      const parsed = rangeReply.safeParse(reply);
      this.noteAnswer(parsed.success, startedAt);
      if (!parsed.success) {
        deliver({ kind: 'unknown' });
        return;
      }
      const keys = parsed.data.kvs.map((found) => toStoreEntry(found).key);
      deliver({ kind: 'listed', keys, isComplete: !parsed.data.more });
    });
  }

  private write(operation: StoreCompareAndSwap, deliver: (result: StoreResult) => void): void {
    this.counts.writes += 1;
    const startedAt = performance.now();
    this.client.call('/v3/kv/txn', transactionBody(operation), (reply) => {
      const parsed = transactionReply.safeParse(reply);
      this.noteAnswer(parsed.success, startedAt);
      if (!parsed.success) {
        deliver({ kind: 'unknown' });
      } else if (parsed.data.succeeded) {
        deliver({ kind: 'written', version: operation.expectedVersion + 1 });
      } else {
        const found = parsed.data.responses[0]?.response_range?.kvs[0];
        deliver({ kind: 'conflict', entry: found === undefined ? undefined : toStoreEntry(found) });
      }
    });
  }

  private watch(key: string): KeyWatch {
    const existing = this.watches.get(key);
    if (existing !== undefined) return existing;
    this.counts.watches += 1;
    const interval =
      this.options.watchReadIntervalMilliseconds ?? defaultWatchReadIntervalMilliseconds;
    const watch: KeyWatch = new KeyWatch(
      this.client,
      key,
      (readKey, deliver) => {
        this.read(readKey, deliver);
      },
      interval,
      (wasAnswered) => {
        // During an outage a watcher may call nothing but its watch.
        if (!wasAnswered) this.noteAnswer(false, 0);
        if (this.watches.get(key) === watch) this.watches.delete(key);
      },
    );
    this.watches.set(key, watch);
    return watch;
  }

  private noteAnswer(answered: boolean, startedAt: number): void {
    if (answered !== this.lastCallAnswered) this.options.reachabilityChanged?.(answered);
    this.lastCallAnswered = answered;
    if (!answered) {
      this.counts.unanswered += 1;
      return;
    }
    const latency = performance.now() - startedAt;
    const isFirst = this.answeredAt === undefined;
    this.smoothedLatency += (latency - this.smoothedLatency) * (isFirst ? 1 : latencyWeight);
    this.answeredAt = Date.now();
  }
}

function transactionBody(operation: StoreCompareAndSwap): unknown {
  const key = encode(operation.key);
  const { expectedVersion, guard, deletedKeys = [] } = operation;
  const deletes = deletedKeys.map((name) => ({ requestDeleteRange: { key: encode(name) } }));
  return {
    compare: [
      versionIs(key, expectedVersion),
      ...(guard === undefined ? [] : [versionIs(encode(guard.key), guard.version)]),
    ],
    success: [{ requestPut: { key, value: encode(operation.value) } }, ...deletes],
    failure: [{ requestRange: { key } }],
  };
}

function versionIs(key: string, version: number): unknown {
  return { key, target: 'VERSION', result: 'EQUAL', version: String(version) };
}
