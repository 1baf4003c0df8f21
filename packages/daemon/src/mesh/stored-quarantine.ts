import type { CrashRecord } from '@peridotspring/mesh-core';

import { parseStoredJson } from './stored-json.js';

/** Larger than any record that a node writes. */
const maximumRecordBytes = 16_384;

/**
 * Encodes what is known of a quarantined request for nodes that start later. Ages of crashes become times of day, as the record is
 * read at any time after it was written.
 */
export function encodeStoredQuarantine(
  { crashes, fingerprint }: CrashRecord,
  unixMilliseconds: number,
): Uint8Array {
  const times = crashes
    .filter(({ isRefuted }) => !isRefuted)
    .map(({ ageMilliseconds, id, runMilliseconds }) => ({
      crashedAt: unixMilliseconds - ageMilliseconds,
      id,
      runMilliseconds,
    }));
  return Buffer.from(JSON.stringify({ crashes: times, fingerprint }));
}

/** Returns the record as another node would send it, still to be validated; undefined if the value can't be read. */
export function decodeStoredQuarantine(value: Uint8Array, unixMilliseconds: number): unknown {
  const parsed = parseStoredJson(value, maximumRecordBytes);
  if (typeof parsed !== 'object' || parsed === null) return undefined;
  const { crashes, fingerprint } = parsed as Readonly<Record<string, unknown>>;
  if (!Array.isArray(crashes)) return undefined;
  return {
    crashes: (crashes as readonly unknown[]).map((crash) => toReport(crash, unixMilliseconds)),
    fingerprint,
  };
}

function toReport(value: unknown, unixMilliseconds: number): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  const { crashedAt, id, runMilliseconds } = value as Readonly<Record<string, unknown>>;
  if (typeof crashedAt !== 'number') return undefined;
  // The clock of the node that wrote the record may be ahead.
  const ageMilliseconds = Math.max(0, unixMilliseconds - crashedAt);
  return { ageMilliseconds, id, isRefuted: false, runMilliseconds };
}
