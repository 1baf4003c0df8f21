/** A copy of the store is some seconds old, so a removal that is older than this is in it. */
const memoryMilliseconds = 60_000;
/** More are not repeated; the entries that come back are found by dialing their nodes in vain. */
const maximumRemovals = 64;

/** Whether a stored entry is the one that is meant. */
export type EntryTest = (stored: Uint8Array) => boolean;

interface Removal {
  readonly removedAt: number;
  readonly isExpected: EntryTest;
}

/** The entries that this node removed lately, which a copy of the store may bring back. */
export class RecentRemovals {
  private readonly removals = new Map<string, Removal>();

  public constructor(private readonly clock: () => number) {}

  public note(name: string, isExpected: EntryTest): void {
    this.removals.delete(name);
    this.removals.set(name, { isExpected, removedAt: this.clock() });
    for (const oldest of this.removals.keys()) {
      if (this.removals.size <= maximumRemovals) return;
      this.removals.delete(oldest);
    }
  }

  public forget(name: string): void {
    this.removals.delete(name);
  }

  public recent(): readonly (readonly [name: string, isExpected: EntryTest])[] {
    const now = this.clock();
    const recent: (readonly [string, EntryTest])[] = [];
    for (const [name, { isExpected, removedAt }] of this.removals) {
      if (now - removedAt > memoryMilliseconds) this.removals.delete(name);
      else recent.push([name, isExpected]);
    }
    return recent;
  }
}
