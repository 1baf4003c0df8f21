import type { MeshNode } from '@peridotspring/mesh-core';

import { parseStoredJson } from './stored-json.js';

const maximumEntryBytes = 4_096;
const maximumTextLength = 256;
const maximumPort = 65_535;
/** An entry of an incarnation later than this would keep out all later entries of the node. */
const maximumClockDifferenceMilliseconds = 86_400_000;
const entryFields = ['name', 'service', 'availabilityZone', 'region', 'address'] as const;

/** Encodes a node as the value of its entry in the store's directory. `recordsEra` is that of a `StoreSession`. */
export function encodeDirectoryEntry(node: MeshNode, recordsEra: number | undefined): Uint8Array {
  return Buffer.from(JSON.stringify({ ...node, recordsEra }));
}

/** The era in an entry; undefined if the store reports none. */
export function readRecordsEra(value: Uint8Array): number | undefined {
  const entry = parseStoredJson(value, maximumEntryBytes);
  if (typeof entry !== 'object' || entry === null || !('recordsEra' in entry)) return undefined;
  return Number.isSafeInteger(entry.recordsEra) ? Number(entry.recordsEra) : undefined;
}

/**
 * Returns undefined if the value is not a valid entry of a mesh node. `latestBoot` is the highest incarnation that is
 * plausible now.
 */
export function decodeDirectoryEntry(value: Uint8Array, latestBoot: number): MeshNode | undefined {
  return readMeshNode(parseStoredJson(value, maximumEntryBytes), latestBoot);
}

/** Whether two entries describe the same node. `boot` is ignored: connections tell incarnations of a node apart. */
export function isSameEntry(stored: MeshNode | undefined, node: MeshNode): boolean {
  return stored !== undefined && entryFields.every((name) => stored[name] === node[name]);
}

/**
 * Reads a node description that another process sent or stored; undefined if it is not valid. Only the known fields are
 * kept: others may be of any size and depth, and would be sent on to all peers.
 */
export function readMeshNode(value: unknown, latestBoot: number): MeshNode | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Readonly<Record<string, unknown>>;
  const { address, availabilityZone, boot, name, region, service } = fields;
  if (!isText(name) || !isText(service) || !isText(availabilityZone) || !isText(region))
    return undefined;
  if (!isText(address) || !isAddress(address) || !isBoot(boot, latestBoot)) return undefined;
  return { address, availabilityZone, boot, name, region, service };
}

/** The highest plausible incarnation at a time of day: clocks of nodes differ. */
export function latestPlausibleBoot(unixMilliseconds: number): number {
  return unixMilliseconds + maximumClockDifferenceMilliseconds;
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= maximumTextLength;
}

function isAddress(address: string): boolean {
  const port = /^\S+:(\d{1,5})$/.exec(address)?.[1];
  return port !== undefined && Number(port) >= 1 && Number(port) <= maximumPort;
}

function isBoot(value: unknown, latestBoot: number): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0 && Number(value) <= latestBoot;
}
