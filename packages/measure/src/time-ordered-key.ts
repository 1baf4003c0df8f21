import { randomBytes } from 'node:crypto';

/** Returns a UUIDv7: 48 bits of Unix milliseconds, then random bits. */
export function createTimeOrderedKey(wallMilliseconds: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(wallMilliseconds, 0, 6);
  bytes[6] = 0x70 | ((bytes[6] ?? 0) & 0x0f);
  bytes[8] = 0x80 | ((bytes[8] ?? 0) & 0x3f);
  const hexadecimal = bytes.toString('hex');
  return [
    hexadecimal.slice(0, 8),
    hexadecimal.slice(8, 12),
    hexadecimal.slice(12, 16),
    hexadecimal.slice(16, 20),
    hexadecimal.slice(20),
  ].join('-');
}
