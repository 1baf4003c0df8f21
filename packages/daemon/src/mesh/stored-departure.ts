import { createHash } from 'node:crypto';

import type { EndedServer } from '@peridotspring/mesh-core';

import { parseStoredJson } from './stored-json.js';

/** Larger than any record that a node writes. */
export const maximumRecordBytes = 4_096;
/** The platform limits the length of keys; longer identifiers are replaced by their digest. */
const maximumNameLength = 128;
const departureNamePattern = new RegExp(`^[^/]{1,${maximumNameLength}}/(any|\\d{1,16})$`);
/** Servers that have left go on serving for seconds, so a record that is this old binds nobody any more. */
const retentionMilliseconds = 86_400_000;

/** Part of the name that the records of all incarnations with an identifier have in common. */
export function departureGroup(instanceId: string): string {
  const encoded = encodeURIComponent(instanceId);
  if (encoded.length <= maximumNameLength) return encoded;
  return createHash('sha256').update(instanceId).digest('hex');
}

/** Each incarnation has a record of its own, so that no write replaces what another one says. */
export function departureName({ instanceId, startedAt }: EndedServer): string {
  return `${departureGroup(instanceId)}/${startedAt ?? 'any'}`;
}

/** Whether a text is the name of a record. */
export function isDepartureName(name: string): boolean {
  return departureNamePattern.test(name);
}

export function encodeStoredDeparture(
  { instanceId, startedAt }: EndedServer,
  node: string,
  recordedAt: number,
): Uint8Array {
  return Buffer.from(JSON.stringify({ instanceId, node, recordedAt, startedAt }));
}

/** The departure of an instance that a record states. One that can't be read binds all incarnations with the identifier. */
export function decodeStoredDeparture(value: Uint8Array, instanceId: string): EndedServer {
  const { startedAt } = readFields(value);
  return { instanceId, startedAt: Number.isSafeInteger(startedAt) ? Number(startedAt) : undefined };
}

export function isDepartureExpired(value: Uint8Array, unixMilliseconds: number): boolean {
  const { recordedAt } = readFields(value);
  return typeof recordedAt === 'number' && unixMilliseconds - recordedAt > retentionMilliseconds;
}

function readFields(value: Uint8Array): Readonly<Record<string, unknown>> {
  const parsed = parseStoredJson(value, maximumRecordBytes);
  return typeof parsed === 'object' && parsed !== null
    ? (parsed as Readonly<Record<string, unknown>>)
    : {};
}
