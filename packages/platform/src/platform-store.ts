import type {
  StoreCompareAndSwap,
  StoreEntry,
  StoreList,
  StoreOperation,
  StoreResult,
} from '@peridotspring/core';

import { GatewayClient } from './gateway-client.js';
import {
  encodeBase64,
  rangeResponseSchema,
  toStoreEntry,
  transactionResponseSchema,
} from './gateway-responses.js';
import { KeyWatch } from './key-watch.js';

/** Options of the client of the platform's key-value store. */
export interface PlatformStoreOptions {
  /** Base URL, for example `http://127.0.0.1:2379`. */
  readonly url: string;
  /** Called when the store stops responding and when it responds again. */
  readonly onReachabilityChange?: ((isReachable: boolean) => void) | undefined;
  /** Timeout of a call; default 2,000. */
  readonly timeoutMilliseconds?: number | undefined;
  /** Interval of additional reads of a watched key, in case its stream delivers nothing; default 30,000. */
  readonly watchReadIntervalMilliseconds?: number | undefined;
}

/** Number of calls to the store by kind, and of calls without a valid response. */
export interface PlatformCallCounters {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly unanswered: number;
}

const defaultTimeoutMilliseconds = 2_000;
const defaultWatchReadIntervalMilliseconds = 30_000;
/** Weight of the latest sample in the exponentially smoothed latency. */
const latencyWeight = 0.1;
/** Limit on connections for reads and writes; requests on more connections would only queue at the store. */
const maximumConnections = 8;

/** Client of the platform's key-value store through the etcd v3 JSON gateway. */
export class PlatformStore {
  private readonly client: GatewayClient;
  private readonly watches = new Map<string, KeyWatch>();
  private readonly callCounts = { reads: 0, writes: 0, watches: 0, unanswered: 0 };
  private wasLastCallAnswered = true;
  private lastResponseTime: number | undefined;
  private smoothedLatency = 0;
  private isClosed = false;

  public constructor(private readonly options: PlatformStoreOptions) {
    const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    this.client = new GatewayClient(new URL(options.url), timeout, maximumConnections);
  }

  /** Whether the most recent call got a valid response. */
  public get isResponding(): boolean {
    return this.wasLastCallAnswered;
  }

  /** Wall-clock time of the last valid response, in milliseconds; `undefined` before the first one. */
  public get lastResponseAt(): number | undefined {
    return this.lastResponseTime;
  }

  /** Exponentially smoothed response time of reads and writes. */
  public get latencyMilliseconds(): number {
    return this.smoothedLatency;
  }

  public get counters(): PlatformCallCounters {
    return { ...this.callCounts };
  }

  /** Executes an operation; `onResult` is called exactly once, also when the client is closed. */
  public execute(operation: StoreOperation, onResult: (result: StoreResult) => void): void {
    if (this.isClosed) {
      queueMicrotask(() => {
        onResult({ kind: 'unknown' });
      });
      return;
    }
    switch (operation.kind) {
      case 'read':
        this.read(operation.key, (result) => {
          if (result === undefined) onResult({ kind: 'unknown' });
          else if (result === 'missing') onResult({ kind: 'missing' });
          else onResult({ kind: 'found', entry: result });
        });
        return;
      case 'compare-and-swap':
        this.write(operation, onResult);
        return;
      case 'list':
        this.list(operation, onResult);
        return;
      case 'watch':
        this.watch(operation.key).waitForNewerVersion(operation.afterVersion, onResult);
        return;
    }
  }

  /** Aborts all calls and watches; pending operations result in `unknown`. */
  public close(): void {
    this.isClosed = true;
    for (const watch of [...this.watches.values()]) {
      watch.close();
    }
    this.client.close();
  }

  private read(key: string, onResult: (result: StoreEntry | 'missing' | undefined) => void): void {
    this.callCounts.reads += 1;
    const startedAt = performance.now();
    this.client.call('/v3/kv/range', { key: encodeBase64(key) }, (responseBody) => {
      const parsed = rangeResponseSchema.safeParse(responseBody);
      this.recordCallResult(parsed.success, startedAt);
      if (!parsed.success) {
        onResult(undefined);
        return;
      }
      const [found] = parsed.data.kvs;
      onResult(found === undefined ? 'missing' : toStoreEntry(found));
    });
  }

  private list(operation: StoreList, onResult: (result: StoreResult) => void): void {
    this.callCounts.reads += 1;
    const startedAt = performance.now();
    const body = {
      key: encodeBase64(operation.key),
      range_end: encodeBase64(operation.end),
      limit: String(operation.limit),
      keys_only: true,
    };
    this.client.call('/v3/kv/range', body, (responseBody) => {
      const parsed = rangeResponseSchema.safeParse(responseBody);
      this.recordCallResult(parsed.success, startedAt);
      if (!parsed.success) {
        onResult({ kind: 'unknown' });
        return;
      }
      const keys = parsed.data.kvs.map((found) => toStoreEntry(found).key);
      onResult({ kind: 'listed', keys, isComplete: !parsed.data.more });
    });
  }

  private write(operation: StoreCompareAndSwap, onResult: (result: StoreResult) => void): void {
    this.callCounts.writes += 1;
    const startedAt = performance.now();
    this.client.call('/v3/kv/txn', transactionBody(operation), (responseBody) => {
      const parsed = transactionResponseSchema.safeParse(responseBody);
      this.recordCallResult(parsed.success, startedAt);
      if (!parsed.success) {
        onResult({ kind: 'unknown' });
      } else if (parsed.data.succeeded) {
        onResult({ kind: 'written', version: operation.expectedVersion + 1 });
      } else {
        const found = parsed.data.responses[0]?.response_range?.kvs[0];
        onResult({
          kind: 'conflict',
          entry: found === undefined ? undefined : toStoreEntry(found),
        });
      }
    });
  }

  private watch(key: string): KeyWatch {
    const existing = this.watches.get(key);
    if (existing !== undefined) return existing;
    this.callCounts.watches += 1;
    const readIntervalMilliseconds =
      this.options.watchReadIntervalMilliseconds ?? defaultWatchReadIntervalMilliseconds;
    const watch: KeyWatch = new KeyWatch(
      this.client,
      key,
      (readKey, onResult) => {
        this.read(readKey, onResult);
      },
      readIntervalMilliseconds,
      (wasConfirmedOrClosed) => {
        // During an outage a watch may be the only call, so it has to report the outage as well.
        if (!wasConfirmedOrClosed) this.recordCallResult(false, 0);
        if (this.watches.get(key) === watch) this.watches.delete(key);
      },
    );
    this.watches.set(key, watch);
    return watch;
  }

  private recordCallResult(isAnswered: boolean, startedAt: number): void {
    if (isAnswered !== this.wasLastCallAnswered) this.options.onReachabilityChange?.(isAnswered);
    this.wasLastCallAnswered = isAnswered;
    if (!isAnswered) {
      this.callCounts.unanswered += 1;
      return;
    }
    const latency = performance.now() - startedAt;
    const isFirst = this.lastResponseTime === undefined;
    this.smoothedLatency += (latency - this.smoothedLatency) * (isFirst ? 1 : latencyWeight);
    this.lastResponseTime = Date.now();
  }
}

function transactionBody(operation: StoreCompareAndSwap): unknown {
  const key = encodeBase64(operation.key);
  const { expectedVersion, guard, deletedKeys = [] } = operation;
  const deletes = deletedKeys.map((name) => ({ requestDeleteRange: { key: encodeBase64(name) } }));
  return {
    compare: [
      versionEquals(key, expectedVersion),
      ...(guard === undefined ? [] : [versionEquals(encodeBase64(guard.key), guard.version)]),
    ],
    success: [{ requestPut: { key, value: encodeBase64(operation.value) } }, ...deletes],
    failure: [{ requestRange: { key } }],
  };
}

function versionEquals(key: string, version: number): unknown {
  return { key, target: 'VERSION', result: 'EQUAL', version: String(version) };
}
