import type { MeshNode } from '@peridotspring/mesh-core';

const entryFields = ['name', 'service', 'availabilityZone', 'region', 'address'] as const;

/** The value of a node's entry in the directory. */
export function encodeDirectoryEntry(node: MeshNode): Uint8Array {
  return Buffer.from(JSON.stringify(node));
}

/** Undefined for an entry that no node of this kind wrote. */
export function decodeDirectoryEntry(value: Uint8Array): MeshNode | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
  return isMeshNode(parsed) ? parsed : undefined;
}

/** Whether two entries lead to the same node; lives of its process are told apart by its connections. */
export function isSameEntry(stored: MeshNode | undefined, node: MeshNode): boolean {
  return stored !== undefined && entryFields.every((name) => stored[name] === node[name]);
}

/** Whether a value that another process sent describes a node. */
export function isMeshNode(value: unknown): value is MeshNode {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Readonly<Record<string, unknown>>;
  return Number.isSafeInteger(fields.boot) && entryFields.every((name) => isText(fields[name]));
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}
