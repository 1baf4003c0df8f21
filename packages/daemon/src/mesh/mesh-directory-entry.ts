import type { MeshNode } from '@peridotspring/mesh-core';

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

/** Whether a value that another process sent describes a node. */
export function isMeshNode(value: unknown): value is MeshNode {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Readonly<Record<string, unknown>>;
  const texts = ['name', 'service', 'availabilityZone', 'region', 'address'];
  return Number.isSafeInteger(fields.boot) && texts.every((name) => isText(fields[name]));
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}
