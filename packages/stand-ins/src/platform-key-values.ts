/** One stored key. Keys and values stay base64 text, as the gateway sends them. */
export interface StoredKeyValue {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** A change of one key, as watchers are told. */
export interface KeyValueEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly entry: StoredKeyValue;
}

interface Lease {
  readonly timer: NodeJS.Timeout;
  readonly seconds: number;
}

/** The key-value service behind the gateway: keys with versions, leases and a listener for changes. */
export class PlatformKeyValues {
  /** Raised by every write, as the gateway's header reports it. */
  public revision = 1;
  private readonly entries = new Map<string, StoredKeyValue>();
  private readonly leases = new Map<string, Lease>();
  private nextLease = 7_587_000_000_000_001n;

  public constructor(private readonly changed: (event: KeyValueEvent) => void) {}

  public get(key: string): StoredKeyValue | undefined {
    return this.entries.get(key);
  }

  /** Entries from `key` up to, without, `rangeEnd`, in the byte order of the decoded keys. */
  public range(key: string, rangeEnd: string): readonly StoredKeyValue[] {
    const first = Buffer.from(key, 'base64');
    const end = Buffer.from(rangeEnd, 'base64');
    const found: { readonly name: Buffer; readonly entry: StoredKeyValue }[] = [];
    for (const entry of this.entries.values()) {
      const name = Buffer.from(entry.key, 'base64');
      if (Buffer.compare(name, first) >= 0 && Buffer.compare(name, end) < 0) {
        found.push({ name, entry });
      }
    }
    found.sort((left, right) => Buffer.compare(left.name, right.name));
    return found.map((item) => item.entry);
  }

  public put(key: string, value: string, lease: string): void {
    this.revision += 1;
    const previous = this.entries.get(key);
    const entry: StoredKeyValue = {
      key,
      value,
      lease,
      version: (previous?.version ?? 0) + 1,
      createRevision: previous?.createRevision ?? this.revision,
      modRevision: this.revision,
    };
    this.entries.set(key, entry);
    this.changed({ type: 'PUT', entry });
  }

  /** Returns whether there was such a key. */
  public delete(key: string): boolean {
    const entry = this.entries.get(key);
    if (entry !== undefined) this.remove(entry);
    return entry !== undefined;
  }

  public hasLease(lease: string): boolean {
    return this.leases.has(lease);
  }

  public grantLease(seconds: number): string {
    const lease = String(this.nextLease);
    this.nextLease += 1n;
    this.leases.set(lease, { seconds, timer: this.startTimer(lease, seconds) });
    return lease;
  }

  /** Returns the time to live in seconds, 0 when the lease is gone. */
  public keepAlive(lease: string): number {
    const known = this.leases.get(lease);
    if (known === undefined) return 0;
    clearTimeout(known.timer);
    this.leases.set(lease, { ...known, timer: this.startTimer(lease, known.seconds) });
    return known.seconds;
  }

  /** Ends a lease, by its owner or because it lapsed, and deletes its keys. */
  public endLease(lease: string): boolean {
    const known = this.leases.get(lease);
    if (known === undefined) return false;
    clearTimeout(known.timer);
    this.leases.delete(lease);
    for (const entry of [...this.entries.values()]) {
      if (entry.lease === lease) this.remove(entry);
    }
    return true;
  }

  public endAllLeases(): void {
    for (const lease of [...this.leases.keys()]) {
      this.endLease(lease);
    }
  }

  /** Stops the timers of all leases without deleting anything. */
  public close(): void {
    for (const lease of this.leases.values()) {
      clearTimeout(lease.timer);
    }
    this.leases.clear();
  }

  private remove(entry: StoredKeyValue): void {
    this.revision += 1;
    this.entries.delete(entry.key);
    const removed = { ...entry, value: '', version: 0, modRevision: this.revision };
    this.changed({ type: 'DELETE', entry: removed });
  }

  private startTimer(lease: string, seconds: number): NodeJS.Timeout {
    return setTimeout(() => this.endLease(lease), seconds * 1_000).unref();
  }
}
