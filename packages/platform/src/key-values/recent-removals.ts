/** The store is restored from a copy that is some seconds old, so a removal older than this is part of the copy. */
const retentionMilliseconds = 60_000;
/** Older removals are not repeated; their entries, if restored, are removed when connecting to their nodes fails. */
const maximumRemovals = 64;

/** Whether a stored entry is the expected one. */
export type EntryPredicate = (stored: Uint8Array) => boolean;

interface Removal {
  readonly removedAt: number;
  readonly isExpected: EntryPredicate;
}

/** The entries that this node removed recently, and which a restore of the store may bring back. */
export class RecentRemovals {
  private readonly removals = new Map<string, Removal>();

  public constructor(private readonly clock: () => number) {}

  public add(name: string, isExpected: EntryPredicate): void {
    this.removals.delete(name);
    this.removals.set(name, { isExpected, removedAt: this.clock() });
    for (const oldest of this.removals.keys()) {
      if (this.removals.size <= maximumRemovals) return;
      this.removals.delete(oldest);
    }
  }

  public discard(name: string): void {
    this.removals.delete(name);
  }

  public recent(): readonly (readonly [name: string, isExpected: EntryPredicate])[] {
    const now = this.clock();
    const recent: (readonly [string, EntryPredicate])[] = [];
    for (const [name, { isExpected, removedAt }] of this.removals) {
      if (now - removedAt > retentionMilliseconds) this.removals.delete(name);
      else recent.push([name, isExpected]);
    }
    return recent;
  }
}
