/** Parses a value from the store, which any program may have written. Returns undefined if it is too long or not JSON. */
export function parseStoredJson(value: Uint8Array, maximumBytes: number): unknown {
  if (value.length > maximumBytes) return undefined;
  try {
    return JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
}
