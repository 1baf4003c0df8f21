import type { RandomSource, StoreEntry, StoreOperation, StoreResult } from '@peridotspring/core';

/** Faults of the simulated store. */
export interface ControlStoreFaults {
  /** Nothing takes effect and no watch reports anything. */
  down: boolean;
  /** Share of writes that take effect without an answer. */
  lostAnswers: number;
  /** Share of operations that take effect only after the client has given up. */
  lateEffects: number;
  /** Share of results that are delivered twice. */
  duplicates: number;
  /** Share of watch results that arrive seconds late. */
  lateWatches: number;
  /** Added to the time of every operation. */
  slowMilliseconds: number;
}

interface Watcher {
  readonly key: string;
  readonly afterVersion: number;
  readonly deliver: (result: StoreResult) => void;
}

type Schedule = (delayMilliseconds: number, action: () => void) => void;

const clientTimeoutMilliseconds = 2_000;
const lateEffectMilliseconds = 6_000;

/** A key-value store in virtual time that counts its calls. */
export class ControlStore {
  public readonly faults: ControlStoreFaults = {
    down: false,
    lostAnswers: 0,
    lateEffects: 0,
    duplicates: 0,
    lateWatches: 0,
    slowMilliseconds: 0,
  };
  public readonly calls = { reads: 0, writes: 0, watches: 0 };
  /** Keys deleted so far. */
  public deletedKeys = 0;
  private readonly entries = new Map<string, StoreEntry>();
  private readonly watchers = new Set<Watcher>();

  public constructor(
    private readonly random: RandomSource,
    private readonly schedule: Schedule,
  ) {}

  public get(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  /** All keys in order. */
  public keys(): readonly string[] {
    return [...this.entries.keys()].sort();
  }

  public execute(operation: StoreOperation, deliver: (result: StoreResult) => void): void {
    this.count(operation);
    if (this.faults.down) {
      this.schedule(clientTimeoutMilliseconds, () => {
        deliver({ kind: 'unknown' });
      });
      return;
    }
    if (operation.kind === 'watch') {
      this.watch(operation, deliver);
      return;
    }
    if (this.hits(this.faults.lateEffects)) {
      this.schedule(clientTimeoutMilliseconds, () => {
        deliver({ kind: 'unknown' });
      });
      this.schedule(lateEffectMilliseconds * this.random.next(), () => this.carryOut(operation));
      return;
    }
    this.schedule(this.latency(), () => {
      const result = this.carryOut(operation);
      const isLost = operation.kind === 'compare-and-swap' && this.hits(this.faults.lostAnswers);
      if (isLost) this.answer({ kind: 'unknown' }, clientTimeoutMilliseconds, deliver);
      else this.answer(result, this.latency(), deliver);
    });
  }

  /** Ends every watch, as a restart of the store does. */
  public cutWatches(): void {
    for (const watcher of this.watchers) {
      this.answer({ kind: 'unknown' }, this.latency(), watcher.deliver);
    }
    this.watchers.clear();
  }

  private answer(result: StoreResult, delay: number, deliver: (result: StoreResult) => void): void {
    this.schedule(delay, () => {
      deliver(result);
    });
    if (!this.hits(this.faults.duplicates)) return;
    this.schedule(delay * 3, () => {
      deliver(result);
    });
  }

  private watch(
    operation: Extract<StoreOperation, { kind: 'watch' }>,
    deliver: (result: StoreResult) => void,
  ): void {
    const entry = this.entries.get(operation.key);
    if (entry !== undefined && entry.version > operation.afterVersion) {
      this.answer({ kind: 'found', entry }, this.latency(), deliver);
      return;
    }
    this.watchers.add({ key: operation.key, afterVersion: operation.afterVersion, deliver });
  }

  private carryOut(operation: Exclude<StoreOperation, { kind: 'watch' }>): StoreResult {
    const entry = this.entries.get(operation.key);
    if (operation.kind === 'read') {
      return entry === undefined ? { kind: 'missing' } : { kind: 'found', entry };
    }
    if (operation.kind === 'list') return this.list(operation);
    if ((entry?.version ?? 0) !== operation.expectedVersion) return { kind: 'conflict', entry };
    const { guard, deletedKeys = [] } = operation;
    if (guard !== undefined && (this.entries.get(guard.key)?.version ?? 0) !== guard.version) {
      return { kind: 'conflict', entry };
    }
    for (const key of deletedKeys) {
      if (this.entries.delete(key)) this.deletedKeys += 1;
    }
    const version = operation.expectedVersion + 1;
    const written = { key: operation.key, value: operation.value, version };
    this.entries.set(operation.key, written);
    for (const watcher of this.watchers) {
      if (watcher.key !== operation.key || version <= watcher.afterVersion) continue;
      this.watchers.delete(watcher);
      const isLate = this.hits(this.faults.lateWatches);
      const delay = isLate ? 5_000 * this.random.next() : this.latency();
      this.answer({ kind: 'found', entry: written }, delay, watcher.deliver);
    }
    return { kind: 'written', version };
  }

  private list(operation: Extract<StoreOperation, { kind: 'list' }>): StoreResult {
    const keys = this.keys().filter((key) => key >= operation.key && key < operation.end);
    const isComplete = keys.length <= operation.limit;
    return { kind: 'listed', keys: keys.slice(0, operation.limit), isComplete };
  }

  private count(operation: StoreOperation): void {
    if (operation.kind === 'watch') this.calls.watches += 1;
    else if (operation.kind !== 'compare-and-swap') this.calls.reads += 1;
    else this.calls.writes += 1;
  }

  private latency(): number {
    return 1 + 2 * this.random.next() + this.faults.slowMilliseconds;
  }

  private hits(share: number): boolean {
    return share > 0 && this.random.next() < share;
  }
}
