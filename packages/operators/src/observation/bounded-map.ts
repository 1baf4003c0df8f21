/** Removes the oldest entries of a map until it has at most `bound`. */
export function dropOldest(entries: Map<unknown, unknown>, bound: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= bound) return;
    entries.delete(key);
  }
}
