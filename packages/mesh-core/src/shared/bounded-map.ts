/** A map that forgets the entry that was set longest ago when it is full. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  public constructor(private readonly maximumSize: number) {}

  public [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return this.entries[Symbol.iterator]();
  }

  public get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Returns the key that was forgotten, if any. */
  public set(key: Key, value: Value): Key | undefined {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maximumSize) return undefined;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
    return oldest;
  }

  public delete(key: Key): void {
    this.entries.delete(key);
  }
}
