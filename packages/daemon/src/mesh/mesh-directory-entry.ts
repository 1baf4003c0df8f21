import type { MeshNode } from '@peridotspring/mesh-core';

const entryFields = ['name', 'service', 'availabilityZone', 'region', 'address'] as const;

/** Encodes a node as the value of its entry in the store's directory. */
export function encodeDirectoryEntry(node: MeshNode): Uint8Array {
  return Buffer.from(JSON.stringify(node));
}

/** Returns undefined if the value is not a valid entry of a mesh node. */
export function decodeDirectoryEntry(value: Uint8Array): MeshNode | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
  return isMeshNode(parsed) ? parsed : undefined;
}

/** Whether two entries describe the same node. `boot` is ignored: connections tell incarnations of a node apart. */
export function isSameEntry(stored: MeshNode | undefined, node: MeshNode): boolean {
  return stored !== undefined && entryFields.every((name) => stored[name] === node[name]);
}

/** Validates a node description that another process sent or stored. */
export function isMeshNode(value: unknown): value is MeshNode {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Readonly<Record<string, unknown>>;
  return Number.isSafeInteger(fields.boot) && entryFields.every((name) => isNonEmpty(fields[name]));
}

function isNonEmpty(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}
