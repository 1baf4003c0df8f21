/**
 * Hashes text to an unsigned 32-bit number: FNV-1a with a final mix, which spreads the hashes of
 * similar names.
 */
export function hashString(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return mixHash(hash);
}

/** Mixes the bits of a 32-bit number, so that similar inputs give unrelated outputs. */
export function mixHash(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
