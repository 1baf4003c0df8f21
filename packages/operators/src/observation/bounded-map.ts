/** Evicts the oldest entries of a map until it has at most `maximumSize` entries. */
export function evictOldest(entries: Map<unknown, unknown>, maximumSize: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maximumSize) return;
    entries.delete(key);
  }
}
