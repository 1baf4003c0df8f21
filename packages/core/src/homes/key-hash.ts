import { sha256 } from '@noble/hashes/sha2.js';
import { utf8ToBytes } from '@noble/hashes/utils.js';

import { homeRangeCount } from '../messages/home-table.js';

/**
 * Returns the range of a key, 0 to 15: the first byte of its SHA-256 modulo the number of ranges.
 */
export function rangeOfKey(key: string): number {
  return (sha256(utf8ToBytes(key))[0] ?? 0) % homeRangeCount;
}

/**
 * Returns the rendezvous hash of two names as an unsigned 32-bit integer (FNV-1a with a finalizer).
 */
export function rendezvousHash(first: string, second: string): number {
  let hash = 0x811c9dc5;
  const text = `${first}\u0000${second}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Sorts by descending rendezvous hash of the service and the server; ties are ordered by server
 * name.
 */
export function sortByRendezvousRank<Item extends { readonly server: string }>(
  service: string,
  items: readonly Item[],
): Item[] {
  return items
    .map((item) => ({ hash: rendezvousHash(service, item.server), item }))
    .sort((a, b) => b.hash - a.hash || (a.item.server < b.item.server ? -1 : 1))
    .map(({ item }) => item);
}
