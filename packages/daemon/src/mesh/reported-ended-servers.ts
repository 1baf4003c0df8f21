import type { EndedServer } from '@peridotspring/mesh-core';

/** Validates a server incarnation that a peer sent. */
export function isEndedServer(value: unknown): value is EndedServer {
  if (typeof value !== 'object' || value === null || !('instanceId' in value)) return false;
  const startedAt = 'startedAt' in value ? value.startedAt : undefined;
  const isValidStart = startedAt === undefined || Number.isSafeInteger(startedAt);
  return isValidStart && typeof value.instanceId === 'string' && value.instanceId !== '';
}

/** The incarnations of a node's server that have ended according to what a peer sent; invalid entries are ignored. */
export function* endedServersOf(node: string, reported: unknown): Generator<EndedServer> {
  if (!Array.isArray(reported)) return;
  for (const server of reported as readonly unknown[])
    if (isEndedServer(server) && 'node' in server && server.node === node) yield server;
}
